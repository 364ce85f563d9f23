"""Port to the other entries."""

from __future__ import annotations

from typing import Protocol

from onyxspoke.core.schema import (
    Answer,
    EntryId,
    JobId,
    Offset,
    Resources,
    TaskName,
    TaskRequest,
    WorkerId,
)


class PeerListener(Protocol):
    """Receives what peers send."""

    def handle_peer_connected(self, peer_id: EntryId) -> None:
        """The stream to a peer is up."""

    def handle_peer_disconnected(self, peer_id: EntryId) -> None:
        """The stream to a peer was lost."""

    def handle_peer_capacity(
        self,
        peer_id: EntryId,
        free: Resources,
        largest_free: Resources,
        settings_revision: Offset,
    ) -> None:
        """A peer advertised its free capacity and its settings revision."""

    def handle_peer_request(
        self,
        peer_id: EntryId,
        request_id: str,
        request: TaskRequest,
        remaining_seconds: float,
    ) -> None:
        """A peer forwarded a request."""

    def handle_peer_answer(self, peer_id: EntryId, request_id: str, answer: Answer) -> None:
        """A peer answered a forwarded request or a key query."""

    def handle_key_query(self, peer_id: EntryId, request_id: str, key: str) -> None:
        """A peer asks for the answer under a key."""

    def handle_job_probe(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """A peer asks which of our workers run tasks of jobs."""

    def handle_job_probe_reply(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """A peer answered a probe."""

    def handle_task_answer(self, task_name: TaskName, answer: Answer) -> None:
        """A peer passed on the answer of a task of a job that this entry runs."""

    def handle_holdover_request(self, peer_id: EntryId, round_number: int) -> None:
        """A zone peer asks for a promise not to claim its workers."""

    def handle_holdover_grant(self, peer_id: EntryId, round_number: int) -> None:
        """A zone peer gave that promise."""


class PeerPort(Protocol):
    """Messages to peers; ``False`` means that nothing was sent."""

    def connect_peer(self, peer_id: EntryId, host: str, port: int) -> None:
        """Keep a stream to a peer."""

    def disconnect_peer(self, peer_id: EntryId) -> None:
        """Drop the stream to a peer."""

    def forward_task(
        self,
        peer_id: EntryId,
        request_id: str,
        request: TaskRequest,
        remaining_seconds: float,
    ) -> bool:
        """Hand a request to a peer."""

    def query_key(self, peer_id: EntryId, request_id: str, key: str) -> bool:
        """Ask a peer for the answer under a key."""

    def answer_peer(self, peer_id: EntryId, request_id: str, answer: Answer) -> None:
        """Answer what a peer sent."""

    def probe_jobs(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """Ask a peer which of its workers run tasks of jobs."""

    def answer_probe(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """Answer a probe."""

    def pass_task_answer(self, peer_id: EntryId, task_name: TaskName, answer: Answer) -> None:
        """Pass the answer of a job's task to the entry that runs the job."""

    def request_holdover(self, peer_id: EntryId, round_number: int) -> None:
        """Ask a zone peer for a promise not to claim our workers."""

    def grant_holdover(self, peer_id: EntryId, round_number: int) -> None:
        """Give that promise."""

    def advertise(
        self, free: Resources, largest_free: Resources, settings_revision: Offset
    ) -> None:
        """Tell all connected peers what is free, and the settings revision."""
