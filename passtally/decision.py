"""The decision log: one line for each decision, with what led to it."""

from eliot import log_message


def log_event(part: str, sentence: str, **fields: object) -> None:
    """Log a short sentence under a part's fixed prefix.

    Args:
        part: The part's name; the line's ``message_type`` is ``passtally:PART``.
        sentence: What happened.
        fields: What it concerns; values are logged as text unless plain.
    """
    log_message(
        message_type=f"passtally:{part}",
        message=f"{part}: {sentence}",
        **{name: _plain(value) for name, value in fields.items()},
    )


def log_decision(
    kind: str,
    *,
    request: str,
    choice: object,
    reason: str,
    candidates: object = (),
    **fields: object,
) -> None:
    """Log one routing, admission, retry or placement decision.

    Args:
        kind: What was decided: ``route``, ``admit``, ``retry`` or ``place``.
        request: The request, generation or plan concerned.
        choice: What was chosen.
        reason: Why, in a short phrase.
        candidates: What was compared.
        fields: What else led to it.
    """
    log_event(
        kind,
        f"Chose {choice}: {reason}.",
        request=request,
        choice=choice,
        reason=reason,
        candidates=candidates,
        **fields,
    )


def _plain(value: object) -> object:
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    if isinstance(value, (tuple, list)):
        return [_plain(item) for item in value]
    return str(value)
