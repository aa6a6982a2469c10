"""Documents in the key-value service: CBOR that is validated when it is read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

import cbor2
from pydantic import TypeAdapter

from hawthornstage.actors.documents import DocumentKind
from hawthornstage.border._cbor import dumps
from hawthornstage.decisions import claims, ledger, tables

Document = TypeVar("Document")


@dataclass(frozen=True)
class DocumentCodec(Generic[Document]):
    """Encodes and decodes one class of document.

    Args:
        adapter: Validator for the class.
    """

    adapter: TypeAdapter[Document]

    def encode(self, document: Document) -> bytes:
        """Return the document as CBOR."""
        plain = self.adapter.dump_python(document, mode="python")
        return dumps(plain)

    def decode(self, data: bytes) -> Document:
        """Decode and validate a document.

        Raises:
            ValueError: The bytes are not a valid document of the class.
        """
        return self.adapter.validate_python(cbor2.loads(data))


LEDGER_CODEC = DocumentCodec(TypeAdapter(ledger.Ledger))
CLAIMS_CODEC = DocumentCodec(TypeAdapter(claims.ClaimShard))
TABLES_CODEC = DocumentCodec(TypeAdapter(tables.TablesDocument))

LEDGER_KIND = DocumentKind(
    ledger.Ledger(), ledger.apply, LEDGER_CODEC.encode, LEDGER_CODEC.decode
)
CLAIMS_KIND = DocumentKind(
    claims.ClaimShard(), claims.apply, CLAIMS_CODEC.encode, CLAIMS_CODEC.decode
)
TABLES_KIND = DocumentKind(
    tables.TablesDocument(), tables.apply, TABLES_CODEC.encode, TABLES_CODEC.decode
)
