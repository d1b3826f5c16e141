from __future__ import annotations

import json
from dataclasses import dataclass

import aiohttp
import openai
import pytest

from primroseford.batch.files import FileStore
from primroseford.batch.jobs import JobRequest
from primroseford.batch.jobs import JobStore
from primroseford.batch.routes import BatchApi
from primroseford.batch.routes import add_batch_routes
from primroseford.clock import ManualClock
from primroseford.configuration.store import ConfigurationStore
from primroseford.keys.secrets import create_key
from primroseford.online.application import create_online_application
from primroseford.platform.client import PlatformClient
from primroseford.platform.client import create_platform_client
from primroseford.platform.objects import PlatformObject
from primroseford.standins.platform import PlatformStandIn
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

MODEL = "van-round"
ENDPOINT = "/v1/chat/completions"


@dataclass
class BatchHost:
    """Batch interface of one host, backed by the platform stand-in."""

    platform: PlatformStandIn
    client: PlatformClient
    wall_clock: ManualClock
    configuration: ConfigurationStore
    files: FileStore
    jobs: JobStore
    url: str
    secrets: dict[str, str]

    def openai(self, organisation: str = "depot") -> openai.AsyncOpenAI:
        """Return an unmodified OpenAI client with the organisation's key."""
        return openai.AsyncOpenAI(
            api_key=self.secrets[organisation],
            base_url=f"{self.url}/v1",
            max_retries=0,
        )

    async def accept(self, count: int, organisation: str = "depot") -> str:
        """Upload a file of ``count`` items and return the id of its job."""

        async def blocks():
            yield lines(count, organisation)

        file_id, _ = await self.files.upload(organisation, "in.jsonl", blocks())
        request = JobRequest(file_id, ENDPOINT, "24h", {}, "", 86_400.0)
        return (await self.jobs.submit(organisation, request))[0]

    def replace_tables(self, repeatable: bool = True, withdrawn: bool = False) -> None:
        """Apply tables with one pool and three organisations.

        :param withdrawn: withdraw the keys of all organisations
        """
        version = self.configuration.current().version + 1
        rows = [
            ("pools", "vans", {"runners": []}),
            (
                "routes",
                "vans",
                {
                    "match": {"models": [MODEL]},
                    "pool": "vans",
                    "organisations": ["depot", "garage"],
                    "repeatable": repeatable,
                },
            ),
        ]
        for name, secret in self.secrets.items():
            key_id = secret.split("-")[1]
            key_hash = self.hashes[name]
            record = {"organisation": name, "hash": key_hash, "withdrawn": withdrawn}
            rows.append(("organisations", name, {"rate": 10, "burst": 10}))
            rows.append(("keys", key_id, record))
        objects = [PlatformObject(k, n, version, spec) for k, n, spec in rows]
        self.configuration.replace(version, objects)


def line(custom_id: str, text: str = "next", **body) -> dict:
    """Return one valid input line."""
    message = {"role": "user", "content": text}
    content = {"model": MODEL, "messages": [message]} | body
    return {"custom_id": custom_id, "method": "POST", "url": ENDPOINT, "body": content}


def lines(count: int, salt: str = "") -> bytes:
    """Return a file of valid lines.

    :param salt: text that makes the content, and so the file, unique
    """
    texts = [json.dumps(line(f"item-{n}", f"next {salt}")) for n in range(count)]
    return "\n".join(texts).encode()


@pytest.fixture
async def batch_host():
    """Serve the batch routes against the platform stand-in."""
    platform = create_platform_stand_in()
    served = await serve(create_platform_application(platform))
    session = aiohttp.ClientSession()
    client = create_platform_client(served.url, session)
    wall_clock = ManualClock(1_800_000_000.0)
    configuration = ConfigurationStore()
    files = FileStore(client, wall_clock)
    jobs = JobStore(client, files, wall_clock)
    app = create_online_application(configuration)
    add_batch_routes(app, BatchApi(configuration, files, jobs))
    host = await serve(app)
    keys = {name: create_key() for name in ("depot", "garage", "outsider")}
    secrets = {name: key.secret for name, key in keys.items()}
    batch_host = BatchHost(
        platform, client, wall_clock, configuration, files, jobs, host.url, secrets
    )
    batch_host.hashes = {name: key.hash for name, key in keys.items()}
    batch_host.replace_tables()
    yield batch_host
    await host.stop()
    await session.close()
    await served.stop()
