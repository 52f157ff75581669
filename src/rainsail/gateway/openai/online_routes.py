"""HTTP routes for online requests: models, completions and chat completions."""

import secrets
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ConfigReader
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.interface import CallerRequest, Gateway
from rainsail.gateway.openai.authentication import Authenticator
from rainsail.gateway.openai.bodies import CHAT_COMPLETION, COMPLETION, PromptBody, read_json
from rainsail.gateway.openai.headers import read_headers
from rainsail.gateway.openai.replies import read_body, write_object
from rainsail.gateway.openai.responses import (
    CHAT_SHAPE,
    COMPLETION_SHAPE,
    AnswerShape,
    AnswerWriter,
)
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.gateway.openai.sinks import ResponseSession, StreamSession, write_fault
from rainsail.resources.specs import Kind, Resource, ServiceSpec

_COMPLETIONS_STEP = "caller_api.completions"
_MODELS_STEP = "caller_api.models"
_RANDOM_ID_BYTES = 16


class OnlineRoutes:
    """Parses online requests and submits them to the gateway's core."""

    def __init__(
        self,
        core: Gateway,
        config: ConfigReader,
        authenticator: Authenticator,
        settings: CallerApiSettings,
        wall_clock: Callable[[], float],
    ) -> None:
        self._core = core
        self._config = config
        self._authenticator = authenticator
        self._settings = settings
        self._wall_clock = wall_clock

    def add_to(self, app: Any) -> None:
        """Add the routes to a klein app."""
        app.route("/v1/models", methods=["GET"])(self.list_models)
        app.route("/v1/models/<path:model>", methods=["GET"])(self.get_model)
        app.route("/v1/completions", methods=["POST"])(self.complete)
        app.route("/v1/chat/completions", methods=["POST"])(self.complete_chat)

    # --- models ---------------------------------------------------------------------------

    def list_models(self, request: Any) -> None:
        """Answer with the services that have an active version."""
        tenant = self._authenticator.tenant(request.getHeader("authorization"))
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        services = self._config.list_resources(Kind.SERVICE)
        data = [_model_object(service) for service in services if _is_served(service)]
        write_object(request, {"object": "list", "data": data})

    def get_model(self, request: Any, model: str) -> None:
        """Answer with one service."""
        tenant = self._authenticator.tenant(request.getHeader("authorization"))
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        for service in self._config.list_resources(Kind.SERVICE):
            if service.key.name == model and _is_served(service):
                write_object(request, _model_object(service))
                return
        write_fault(request, Fault(FaultCode.NOT_FOUND, _MODELS_STEP, f"no model {model!r}"))

    # --- completions ----------------------------------------------------------------------

    def complete(self, request: Any) -> "Deferred[None] | None":
        """Answer a completion."""
        return self._complete(request, COMPLETION, COMPLETION_SHAPE)

    def complete_chat(self, request: Any) -> "Deferred[None] | None":
        """Answer a chat completion."""
        return self._complete(request, CHAT_COMPLETION, CHAT_SHAPE)

    def _complete(self, request: Any, adapter: Any, shape: AnswerShape) -> "Deferred[None] | None":
        tenant = self._authenticator.tenant(request.getHeader("authorization"))
        body = tenant.bind(lambda _: self._read(request, adapter))
        caller_request = body.bind(lambda read: self._caller_request(request, tenant.ok, read))
        if caller_request.is_error():
            write_fault(request, caller_request.error)
            return None
        created = int(self._wall_clock())
        writer = AnswerWriter(shape, caller_request.ok.request_id, body.ok.model, created)
        if body.ok.stream:
            session: ResponseSession = StreamSession(request, writer, body.ok.includes_usage)
        else:
            session = ResponseSession(request, writer)
        session.start(self._core, caller_request.ok)
        return Deferred()

    def _read(self, request: Any, adapter: Any) -> Result[Any, Fault]:
        data = read_body(request, self._settings.max_request_bytes, _COMPLETIONS_STEP)
        return data.bind(lambda read: read_json(adapter, read, _COMPLETIONS_STEP))

    def _caller_request(
        self, request: Any, tenant: str, body: PromptBody
    ) -> Result[CallerRequest, Fault]:
        headers = read_headers(request)
        if headers.is_error():
            return Error(headers.error)
        prompt = body.text()
        bound = body.token_bound(self._settings.default_max_tokens)
        fault = self._bounds_fault(prompt, bound)
        if fault is not None:
            return Error(fault)
        stated = headers.ok
        return Ok(
            CallerRequest(
                request_id=stated.idempotency_key or secrets.token_hex(_RANDOM_ID_BYTES),
                tenant=tenant,
                model=body.model,
                prompt=prompt,
                max_tokens=bound,
                class_=stated.request_class,
                session=stated.session,
                adapter=stated.adapter,
                deadline_s=stated.deadline_s,
                seed=body.seed or 0,
            )
        )

    def _bounds_fault(self, prompt: str, bound: int) -> Fault | None:
        if bound > self._settings.max_tokens_limit:
            detail = f"max_tokens: at most {self._settings.max_tokens_limit} are taken"
            return Fault(FaultCode.INVALID, _COMPLETIONS_STEP, detail)
        if len(prompt) > self._settings.max_prompt_characters:
            detail = f"more than {self._settings.max_prompt_characters} characters of prompt"
            return Fault(FaultCode.TOO_LARGE, _COMPLETIONS_STEP, detail)
        return None


def _is_served(service: Resource) -> bool:
    return isinstance(service.spec, ServiceSpec) and bool(service.spec.active_version)


def _model_object(service: Resource) -> dict[str, Any]:
    """Return OpenAI's model object; ``created`` is 0 because resources store no times."""
    return {"id": service.key.name, "object": "model", "created": 0, "owned_by": "rainsail"}
