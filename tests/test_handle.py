"""Signing, verification and key rotation of resume handles."""

import pytest

from passtally.handle import HandleError, HandleSigner, StreamRef, bind

STREAM = StreamRef(
    generation_id="gen-1",
    endpoint_id="runner-1",
    attempt=2,
    model="m",
    version="1",
    adapter="",
    seed=7,
    max_tokens=100,
)
BINDING = bind("workspace", b"body")


def make_signer(active: str = "k1", *ids: str) -> HandleSigner:
    keys_by_id = {key_id: f"secret-of-{key_id}".encode() for key_id in (active, *ids)}
    return HandleSigner(keys_by_id=keys_by_id, active_key=active)


def write(signer: HandleSigner, **options) -> str:
    return signer.writer(STREAM, binding=BINDING).write(
        10, 25, 8, [4, 70000], **options
    )


class TestHandleSigner:
    def test_an_opened_handle_has_the_values_written(self):
        point = make_signer().open(write(make_signer()), binding=BINDING)
        assert point.stream == STREAM
        assert (point.position, point.characters) == (10, 25)
        assert (point.tail_start, point.tail) == (8, (4, 70000))

    @pytest.mark.parametrize(
        "binding", [bind("other", b"body"), bind("workspace", b"other")]
    )
    def test_another_workspace_or_body_is_refused(self, binding):
        with pytest.raises(HandleError, match="does not belong"):
            make_signer().open(write(make_signer()), binding=binding)

    def test_every_changed_character_is_refused(self):
        handle = write(make_signer())
        for index in range(len(handle)):
            forged = handle[:index] + "~" + handle[index + 1 :]
            with pytest.raises(HandleError):
                make_signer().open(forged, binding=BINDING)

    @pytest.mark.parametrize("malformed", ["", "k1", "k1..", "é.é", "k1." + "x" * 9999])
    def test_a_malformed_handle_is_refused(self, malformed):
        with pytest.raises(HandleError):
            make_signer().open(malformed, binding=BINDING)

    def test_a_former_key_opens_handles_until_it_is_retired(self):
        handle = write(make_signer("k1"))
        assert make_signer("k2", "k1").open(handle, binding=BINDING)
        with pytest.raises(HandleError, match="retired"):
            make_signer("k2").open(handle, binding=BINDING)

    def test_a_missing_active_key_is_an_error(self):
        with pytest.raises(ValueError, match="k9"):
            HandleSigner(keys_by_id={"k1": b"x"}, active_key="k9")
