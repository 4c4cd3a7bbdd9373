"""An entry host that reads settings and declaration from TOML files."""
