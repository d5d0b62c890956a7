"""Order of a record's contents, as its writer has published them, between generations.

A platform's store that comes back from an older copy gives out its revisions again, so that they no
longer tell which of two contents is newer. `types.Record.order` does.
"""

from verbenadrum.records import envelope, revisions, types

__all__ = ["BEFORE_FIRST", "compare", "is_listed_again", "is_renewal", "of_withdrawal"]

# Second number of an order that precedes all others of the same first number.
BEFORE_FIRST = -1
_SERVER_KIND = types.RecordKind.SERVER.value
_CONFIGURATION_KIND = types.RecordKind.CONFIGURATION.value


def compare(
    header: envelope.EnvelopeHeader, held: types.Record, *, published_withdrawal: bool
) -> int:
    """Return 1 if the offered content is later in its writer's order, -1 if it is earlier.

    0 leaves it to the revisions: both are from one generation, or the order is unknown. A
    configuration's version and a server's sequence since its start count within a generation too,
    as a writer may write again what was lost, in order. A withdrawal follows the content that
    was withdrawn. A server that was withdrawn in a newer generation has no place in the order, if
    the withdrawal is published there (``published_withdrawal``) and not carried over.
    """
    same_generation = revisions.generation_of(header.revision) == revisions.generation_of(
        held.revision
    )
    if same_generation and header.revision != held.revision and header.kind == _SERVER_KIND:
        return _compare_sequences(header, held)
    decides = (
        header.kind == _CONFIGURATION_KIND
        or header.revision == held.revision
        or not same_generation
    )
    newer_is_withdrawn = header.withdrawn if header.revision > held.revision else held.spec is None
    ends_order = published_withdrawal and newer_is_withdrawn
    if header.kind == _SERVER_KIND and header.revision != held.revision and ends_order:
        return 0
    if not decides or types.UNKNOWN_ORDER in (header.order, held.order):
        return 0
    offered_place = (*header.order, header.withdrawn)
    held_place = (*held.order, held.spec is None)
    return (offered_place > held_place) - (offered_place < held_place)


def _compare_sequences(header: envelope.EnvelopeHeader, held: types.Record) -> int:
    """Return -1 if a server has published the offered content before the one held, else 0."""
    known = types.UNKNOWN_ORDER not in (header.order, held.order)
    same_start = header.order[0] == held.order[0]
    earlier = known and same_start and header.order[1] < held.order[1]
    return -1 if earlier and not header.withdrawn else 0


def is_listed_again(header: envelope.EnvelopeHeader, held: types.Record) -> bool:
    """Return whether a newer generation lists a server with the order of the content in force."""
    same_order = header.order == held.order != types.UNKNOWN_ORDER
    generation = revisions.generation_of(header.revision)
    return (
        header.kind == _SERVER_KIND
        and same_order
        and header.withdrawn == (held.spec is None)
        and generation > revisions.generation_of(held.revision)
    )


def is_renewal(record: types.Record, held: types.Record, *, carried: bool) -> bool:
    """Return whether the content in force gets a revision of a newer generation."""
    generation = revisions.generation_of(record.revision)
    renews = carried or generation > revisions.generation_of(held.revision)
    return renews and record.spec == held.spec


def of_withdrawal(order: tuple[int, int], held: types.Record) -> tuple[int, int]:
    """Return the order of a withdrawal, which may state none, of the content held.

    A live server that a new generation lacks may only be unknown to the older copy. Its withdrawal
    precedes every record of its present start, until it is confirmed. One that was leaving has
    left.
    """
    if types.UNKNOWN_ORDER in (order, held.order):
        return held.order
    if held.spec is None:
        return max(order, held.order)
    leaving = (
        isinstance(held.spec, types.ServerSpec) and held.spec.state is types.ServerState.LEAVING
    )
    if order[1] == BEFORE_FIRST and not leaving:
        return max(order[0], held.order[0]), BEFORE_FIRST
    return max(order, held.order) if order[0] == held.order[0] else order
