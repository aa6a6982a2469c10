"""The data classes that flow through the pipes and between tasks."""
