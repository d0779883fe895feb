"""Serves the completion API: streamed, whole, and going on after a loss."""

from collections.abc import Sequence
from datetime import timedelta

import attrs
from aiohttp import web

from passtally.admission import AdmissionRequest, RequestClass
from passtally.api import JSON_TYPE, find_service, find_workspace, read_admission
from passtally.catalog import Catalog
from passtally.completion import (
    AnswerFormat,
    CompletionBody,
    EventWriter,
    Flavour,
    build_request,
    new_generation_id,
    parse_body,
    resume_request,
)
from passtally.copies import CopySender, CopyService
from passtally.decision import log_event
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.gate import Gate
from passtally.generation import Attempt, Delivery, Generation
from passtally.handle import HandleError, HandleSigner, ResumePoint, bind
from passtally.job import Job, JobState
from passtally.jobs import RETRY_AFTER, Jobs
from passtally.objects import Protection, Service, ServiceKind, Workspace
from passtally.outcome import Code, RefusedError, refuse
from passtally.relay import Sink

EVENT_STREAM = "text/event-stream"
RESUME_HEADER = "Last-Event-ID"
GENERATION_HEADER = "X-Generation-Id"
PREFER_HEADER = "Prefer"
RESPOND_ASYNC = "respond-async"
FAILED_JOB_STATUS = 500
#: Attempts of a job's new host are numbered behind all of the last one's.
ATTEMPTS_A_TAKEOVER = 1000
CLIENT_RETRY = timedelta(milliseconds=200)


class CompletionHandler:
    """Handles both shapes of the completion API.

    Args:
        catalog: The configuration in force.
        dispatcher: Runs generations.
        signer: Signs and opens resume handles.
        drain: Counts the requests that are open.
        copy_sender: Sends copies of running answers to peers.
        copies: Fetches copies from peers.
        gate: Admits requests.
        host_id: This host's name.

    Attributes:
        jobs: The jobs; set once they are built.
    """

    jobs: Jobs

    def __init__(
        self,
        *,
        catalog: Catalog,
        dispatcher: Dispatcher,
        signer: HandleSigner,
        drain: Drain,
        copy_sender: CopySender,
        copies: CopyService,
        gate: Gate,
        host_id: str,
    ) -> None:
        self._catalog = catalog
        self._dispatcher = dispatcher
        self._signer = signer
        self._drain = drain
        self._copy_sender = copy_sender
        self._copies = copies
        self._gate = gate
        self._host_id = host_id

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve ``POST /v1/chat/completions``."""
        return await self._serve(request, Flavour.CHAT)

    async def collect(self, request: web.Request) -> web.Response:
        """Serve ``GET /v1/generations/{id}``: a job's answer, once it is whole."""
        workspace = find_workspace(self._catalog, request)
        job = await self.jobs.collect(request.match_info["id"], workspace.id)
        if job.state is JobState.RUNNING:
            return _answer_running(job.id)
        status = 200 if job.state is JobState.DONE else FAILED_JOB_STATUS
        return web.Response(text=job.answer, status=status, content_type=JSON_TYPE)

    async def run_job(self, job: Job) -> bytes:
        """Run a job and return the body of its answer.

        Raises:
            RefusedError: It could not be run, or not to its end.
        """
        raw = job.body.encode()
        flavour = Flavour(job.flavour)
        body = parse_body(raw, flavour)
        workspace = self._catalog.workspaces_by_id.get(job.workspace)
        if workspace is None:
            raise _unknown_model(body.model)
        service = self._find_model(workspace, body)
        request = build_request(
            body, flavour, workspace=workspace, service=service, generation_id=job.id
        )
        generation = Generation(
            request=request, attempts_before=job.takeovers * ATTEMPTS_A_TAKEOVER
        )
        admission = AdmissionRequest(
            id=job.id,
            workspace=workspace.id,
            share=workspace.share,
            request_class=RequestClass.JOB,
        )
        sink = JobSink()
        async with self._gate.enter(service.id, admission):
            await self._dispatcher.run(generation, sink)
        return AnswerFormat(flavour=flavour).render_answer(
            generation, "".join(sink.texts)
        )

    async def text(self, request: web.Request) -> web.StreamResponse:
        """Serve ``POST /v1/completions``."""
        return await self._serve(request, Flavour.TEXT)

    async def _serve(
        self, request: web.Request, flavour: Flavour
    ) -> web.StreamResponse:
        workspace = find_workspace(self._catalog, request)
        raw = await request.read()
        body = parse_body(raw, flavour)
        service = self._find_model(workspace, body)
        if RESPOND_ASYNC in request.headers.get(PREFER_HEADER, ""):
            return await self._submit(workspace, flavour, raw)
        binding = bind(workspace.id, raw)
        point = self._open_handle(request, binding)
        shape = AnswerFormat(
            flavour=flavour,
            include_usage=bool(
                body.stream_options and body.stream_options.include_usage
            ),
        )
        generation = build_generation(body, flavour, workspace, service, point)
        work = _Work(
            generation=generation,
            admission=read_admission(
                request, workspace, service, request_id=generation.request.id
            ),
            shape=shape,
            service=service,
            binding=binding,
            point=point,
        )
        with self._drain.track():
            if body.stream:
                return await self._stream(request, work)
            return await self._answer_whole(request, work)

    def _find_model(self, workspace: Workspace, body: CompletionBody) -> Service:
        service = find_service(
            self._catalog, workspace, body.model, code=Code.UNKNOWN_MODEL
        )
        if service.kind is not ServiceKind.MODEL:
            raise _unknown_model(body.model)
        return service

    async def _submit(
        self, workspace: Workspace, flavour: Flavour, raw: bytes
    ) -> web.Response:
        job = Job(
            id=new_generation_id(),
            workspace=workspace.id,
            flavour=flavour.value,
            body=raw.decode(),
            holder=self._host_id,
        )
        await self.jobs.submit(job)
        return _answer_running(job.id)

    def _open_handle(self, request: web.Request, binding: bytes) -> ResumePoint | None:
        handle = request.headers.get(RESUME_HEADER)
        if not handle:
            return None
        try:
            return self._signer.open(handle, binding=binding)
        except HandleError as error:
            raise refuse(
                Code.BAD_RESUME_HANDLE, f"{error}.", status=400, step="resume"
            ) from error

    async def _stream(self, request: web.Request, work: "_Work") -> web.StreamResponse:
        copy = None
        if work.service.protection is Protection.COPY:
            copy = self._copy_sender.open(work.generation)
        writer = EventWriter(
            shape=work.shape, signer=self._signer, binding=work.binding, copy=copy
        )
        sink = EventSink(request=request, writer=writer)
        try:
            await self._dispatch(work, sink)
        except RefusedError as error:
            if sink.response is None:
                raise
            await sink.fail(error)
        except ConnectionError:
            log_event("api", "Caller left.", request=work.generation.request.id)
        finally:
            if copy is not None:
                self._copy_sender.close(copy)
        return sink.response or web.Response()

    async def _answer_whole(self, request: web.Request, work: "_Work") -> web.Response:
        sink = BufferedSink(request=request)
        await self._dispatch(work, sink)
        return web.Response(
            body=work.shape.render_answer(work.generation, "".join(sink.texts)),
            content_type=JSON_TYPE,
            headers={GENERATION_HEADER: work.generation.request.id},
        )

    async def _dispatch(self, work: "_Work", sink: Sink) -> None:
        point = work.point
        if point is None:
            async with self._gate.enter(work.service.id, work.admission):
                await self._dispatcher.run(work.generation, sink)
            return

        async def recover() -> Sequence[int] | None:
            stream = point.stream
            if not stream.copy_host:
                return None
            return await self._copies.recover(
                stream.copy_host, stream.copy_id, point.tail_start, point.tail
            )

        await self._dispatcher.run(
            work.generation, sink, held_by=point.stream.endpoint_id, recover=recover
        )


@attrs.frozen(kw_only=True)
class _Work:
    """One request that was read and admitted."""

    generation: Generation
    admission: AdmissionRequest
    shape: AnswerFormat
    service: Service
    binding: bytes
    point: ResumePoint | None


class EventSink:
    """Sends an answer as server-sent events.

    Args:
        request: The caller's request.
        writer: Turns output into events.
    """

    def __init__(self, *, request: web.Request, writer: EventWriter) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._writer = writer
        self._generation: Generation | None = None

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Learn of a new attempt before its first output."""
        self._generation = generation
        self._writer.switch(generation, attempt)

    async def write(self, deliveries: list[Delivery]) -> None:
        """Send new output; returns when the caller has room for more."""
        if self.response is None:
            self.response = await self._open()
        await self.response.write(self._writer.encode(self._generation, deliveries))

    async def fail(self, error: RefusedError) -> None:
        """End the stream with an honest error event."""
        data = error.failure.to_json()
        await self.response.write(b"event: error\ndata: %b\n\n" % data)

    async def _open(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM,
                "Cache-Control": "no-cache",
                GENERATION_HEADER: self._generation.request.id,
            }
        )
        await response.prepare(self._request)
        milliseconds = int(CLIENT_RETRY.total_seconds() * 1000)
        await response.write(b"retry: %d\n\n" % milliseconds)
        return response


class BufferedSink:
    """Gathers an answer that is sent in one piece.

    Args:
        request: The caller's request, to see that the caller is still there.
    """

    def __init__(self, *, request: web.Request) -> None:
        self.texts: list[str] = []
        self._request = request

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Learn of a new attempt; nothing depends on it here."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Take new output."""
        transport = self._request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the caller left")
        self.texts.extend(delivery.text for delivery in deliveries)


class JobSink:
    """Gathers a job's answer; nobody waits for it."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Learn of a new attempt; nothing depends on it here."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Take new output."""
        self.texts.extend(delivery.text for delivery in deliveries)


def _answer_running(job_id: str) -> web.Response:
    return web.json_response(
        {"id": job_id, "status": "running"},
        status=202,
        headers={
            "Location": f"/v1/generations/{job_id}",
            "Retry-After": str(int(RETRY_AFTER.total_seconds())),
        },
    )


def _unknown_model(name: str) -> RefusedError:
    return refuse(
        Code.UNKNOWN_MODEL,
        f"{name!r} is not a model of this workspace.",
        status=404,
        step="authorize",
    )


def build_generation(
    body: CompletionBody,
    flavour: Flavour,
    workspace: Workspace,
    service: Service,
    point: ResumePoint | None,
) -> Generation:
    """Return the generation of a request, new or going on from a point."""
    request = build_request(body, flavour, workspace=workspace, service=service)
    if point is None:
        return Generation(request=request)
    return Generation(
        request=resume_request(request, point.stream),
        delivered=point.position,
        delivered_characters=point.characters,
        attempts_before=point.stream.attempt,
    )
