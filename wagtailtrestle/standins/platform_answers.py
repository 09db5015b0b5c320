"""HTTP answers of the platform stand-in, made from outcomes of the object table."""

import gzip
import json
from http import HTTPStatus

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone

COMPRESS_ABOVE_BYTES = 1400


class Answer:
    """HTTP answer: a status, a JSON body, and an entity tag if it has a version."""

    __slots__ = ("status", "body", "version")

    def __init__(self, *, status, body=None, version=None):
        self.status = status
        self.body = body
        self.version = version


def answer_outcome(outcome, *, with_value=True):
    """Convert an outcome to an answer; a write is answered with the version only."""
    match outcome:
        case StoreDone(version=version, value=value):
            body = {"version": version, "value": value} if with_value else {"version": version}
            return Answer(status=HTTPStatus.OK, body=body, version=version)
        case StoreConflict(version=version):
            return Answer(status=HTTPStatus.CONFLICT, body={"version": version, "applied": False})
        case StoreAbsent():
            return Answer(status=HTTPStatus.NOT_FOUND, body={"applied": False, "error": "no such object"})
    raise AssertionError(f"not an outcome of the table: {outcome}")


def bad_request(*problems):
    """Return a 400 answer that lists the problems."""
    return Answer(status=HTTPStatus.BAD_REQUEST, body={"applied": False, "error": "; ".join(problems)})


def entity_tag(version):
    """Return the entity tag of an object's version."""
    return f'"{version}"'


def send(answer, environ, start_response):
    """Send an answer over WSGI; a large body is compressed if the client accepts gzip."""
    headers = []
    body = b""
    if answer.version is not None:
        headers.append(("ETag", entity_tag(answer.version)))
    if answer.body is not None:
        body = json.dumps(answer.body).encode()
        headers.append(("Content-Type", "application/json"))
        if len(body) > COMPRESS_ABOVE_BYTES and "gzip" in environ.get("HTTP_ACCEPT_ENCODING", ""):
            body = gzip.compress(body, compresslevel=5)
            headers.append(("Content-Encoding", "gzip"))
        headers.append(("Content-Length", str(len(body))))
    start_response(f"{answer.status.value} {answer.status.phrase}", headers)
    return [body]
