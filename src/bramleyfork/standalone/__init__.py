"""Program of an entry host that is configured by TOML files."""
