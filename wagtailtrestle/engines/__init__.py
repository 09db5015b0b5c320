"""Unlike engines: the client, their learned speed, their health."""
