"""The catalogue: its entries, their validation, storage and revisions."""
