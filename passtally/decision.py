"""Structured log of events and decisions, one line each."""

from eliot import log_message


def log_event(part: str, sentence: str, **fields: object) -> None:
    """Log an event of one part of the program.

    Args:
        part: The name of the part, which prefixes the message. The ``message_type`` is
            ``passtally:PART``.
        sentence: A short sentence that states what happened.
        fields: The fields of the event. Values other than numbers, booleans, strings,
            None and lists of these are logged as text.
    """
    log_message(
        message_type=f"passtally:{part}",
        message=f"{part}: {sentence}",
        **{name: _to_loggable(value) for name, value in fields.items()},
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
        kind: The kind of decision: ``route``, ``admit``, ``retry`` or ``place``.
        request: The id of the request, generation or plan.
        choice: The chosen option.
        reason: The reason for the choice, as a short phrase.
        candidates: The options that were compared.
        fields: Further inputs of the decision.
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


def _to_loggable(value: object) -> object:
    if value is None or isinstance(value, (bool, int, float, str)):
        return value
    if isinstance(value, (tuple, list)):
        return [_to_loggable(item) for item in value]
    return str(value)
