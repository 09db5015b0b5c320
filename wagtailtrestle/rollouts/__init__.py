"""Roll-outs: a service's traffic moves to engines of another version, if that version proves as good."""
