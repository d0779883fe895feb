"""Serves the completion API: streamed and buffered answers, resumes and jobs."""

from collections.abc import Sequence

import attrs
from aiohttp import web

from passtally.admission_request import AdmissionRequest, RequestClass
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
from passtally.completion_sinks import (
    GENERATION_HEADER,
    BufferedSink,
    EventSink,
    JobSink,
)
from passtally.copies import CopySender, CopyService
from passtally.decision import log_event
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.gate import Gate
from passtally.generation import Generation
from passtally.handle import HandleError, HandleSigner, ResumePoint, bind
from passtally.job import Job, JobState
from passtally.jobs import RETRY_AFTER, Jobs
from passtally.objects import Protection, Service, ServiceKind, Workspace
from passtally.outcome import Code, RefusedError, refuse
from passtally.output_buffers import OutputBuffers
from passtally.relay import Sink

RESUME_HEADER = "Last-Event-ID"
PREFER_HEADER = "Prefer"
RESPOND_ASYNC = "respond-async"
FAILED_JOB_STATUS = 500
#: Difference between the first attempt numbers of successive hosts of a job, so that
#: each attempt of a new host has a higher number than those of the previous host.
ATTEMPTS_PER_TAKEOVER = 1000


class CompletionHandler:
    """Handles both flavours of the completion API.

    Args:
        catalog: The active configuration.
        dispatcher: Runs generations.
        signer: Signs and verifies resume handles.
        drain: Counts the open requests.
        copy_sender: Sends copies of running answers to peers.
        copies: Fetches copies from peers.
        gate: Admits requests.
        host_id: The id of this host.
        output: The unread output of all callers.

    Attributes:
        jobs: The jobs of this host; set after construction, since they need the
            handler's ``run_job``.
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
        output: OutputBuffers,
    ) -> None:
        self._output = output
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
        """Serve ``GET /v1/generations/{id}``: a job's answer, once it is complete."""
        workspace = find_workspace(self._catalog, request)
        job = await self.jobs.collect(request.match_info["id"], workspace.id)
        if job.state is JobState.RUNNING:
            return _running_response(job.id)
        status = 200 if job.state is JobState.DONE else FAILED_JOB_STATUS
        return web.Response(text=job.answer, status=status, content_type=JSON_TYPE)

    async def run_job(self, job: Job) -> bytes:
        """Run a job and return the body of its answer.

        Raises:
            RefusedError: The job could not be run or could not be completed.
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
        admission = AdmissionRequest(
            id=job.id,
            workspace=workspace.id,
            share=workspace.share,
            request_class=RequestClass.JOB,
        )
        generation = Generation(
            request=attrs.evolve(request, priority=admission.priority),
            attempts_before=job.takeovers * ATTEMPTS_PER_TAKEOVER,
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
        answer_format = AnswerFormat(
            flavour=flavour,
            include_usage=bool(
                body.stream_options and body.stream_options.include_usage
            ),
        )
        generation = build_generation(body, flavour, workspace, service, point)
        admission = read_admission(
            request, workspace, service, request_id=generation.request.id
        )
        generation.request = attrs.evolve(
            generation.request, priority=admission.priority
        )
        parsed = _ParsedRequest(
            generation=generation,
            admission=admission,
            answer_format=answer_format,
            service=service,
            binding=binding,
            point=point,
        )
        with self._drain.track():
            if body.stream:
                return await self._stream(request, parsed)
            return await self._send_buffered(request, parsed)

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
        return _running_response(job.id)

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

    async def _stream(
        self, request: web.Request, parsed: "_ParsedRequest"
    ) -> web.StreamResponse:
        copy = None
        if parsed.service.protection is Protection.COPY:
            copy = self._copy_sender.open(parsed.generation)
        writer = EventWriter(
            answer_format=parsed.answer_format,
            signer=self._signer,
            binding=parsed.binding,
            copy=copy,
        )
        sink = EventSink(request=request, writer=writer, buffers=self._output)
        try:
            await self._dispatch(parsed, sink)
            await sink.flush()
        except RefusedError as error:
            if sink.response is None:
                raise
            await sink.fail(error)
        except ConnectionError as error:
            log_event(
                "api",
                "The connection to the caller was closed.",
                request=parsed.generation.request.id,
                why=error,
            )
        finally:
            sink.close()
            if copy is not None:
                self._copy_sender.close(copy)
        return sink.response or web.Response()

    async def _send_buffered(
        self, request: web.Request, parsed: "_ParsedRequest"
    ) -> web.Response:
        sink = BufferedSink(request=request)
        await self._dispatch(parsed, sink)
        return web.Response(
            body=parsed.answer_format.render_answer(
                parsed.generation, "".join(sink.texts)
            ),
            content_type=JSON_TYPE,
            headers={GENERATION_HEADER: parsed.generation.request.id},
        )

    async def _dispatch(self, parsed: "_ParsedRequest", sink: Sink) -> None:
        point = parsed.point
        if point is None:
            async with self._gate.enter(parsed.service.id, parsed.admission):
                await self._dispatcher.run(parsed.generation, sink)
            return

        async def recover() -> Sequence[int] | None:
            stream = point.stream
            if not stream.copy_host:
                return None
            return await self._copies.recover(
                stream.copy_host, stream.copy_id, point.tail_start, point.tail
            )

        await self._dispatcher.run(
            parsed.generation,
            sink,
            stream_endpoint_id=point.stream.endpoint_id,
            recover=recover,
        )


@attrs.frozen(kw_only=True)
class _ParsedRequest:
    """A parsed request with its generation and its parameters for the gate."""

    generation: Generation
    admission: AdmissionRequest
    answer_format: AnswerFormat
    service: Service
    binding: bytes
    point: ResumePoint | None


def _running_response(job_id: str) -> web.Response:
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
    """Return the generation of a request, new or resumed from a point."""
    request = build_request(body, flavour, workspace=workspace, service=service)
    if point is None:
        return Generation(request=request)
    return Generation(
        request=resume_request(request, point.stream),
        delivered=point.position,
        delivered_characters=point.characters,
        attempts_before=point.stream.attempt,
        origin=point.stream.origin,
    )
