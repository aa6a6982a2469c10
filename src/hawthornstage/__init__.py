"""A router fleet for language-model capacity on prepaid token budgets."""

from hawthornstage.border.settings import Settings, load_settings
from hawthornstage.compose import Router

__all__ = ["Router", "Settings", "load_settings"]
