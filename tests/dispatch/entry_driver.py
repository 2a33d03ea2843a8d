"""Drive the reducer of an entry with any number of linked agents."""

from __future__ import annotations

from typing import Any

from fakes.fleet import CAPACITY
from fakes.fleet import CONFIGURATION
from fakes.fleet import QUEUE
from fakes.fleet import SERVICE
from fakes.fleet import ZONE
from fakes.fleet import job_of

from savoryrudder.dispatch import events
from savoryrudder.dispatch.reducer import reduce
from savoryrudder.dispatch.state import DispatchIdentity
from savoryrudder.dispatch.state import DispatchState
from savoryrudder.dispatch.state import DispatchTiming
from savoryrudder.jobs.model import JobRequest
from savoryrudder.jobs.model import Resources
from savoryrudder.protocol import work
from savoryrudder.protocol.evacuation import UNREAD_ZONES
from savoryrudder.protocol.evacuation import EvacuatedZones

NO_CPU = Resources(0, 4096, 0)


class EntryDriver:
    """Feed events to an entry; agents only say what a test lets them say."""

    def __init__(
        self,
        agents: int,
        free: Resources = CAPACITY,
        zones: tuple[str, ...] = (ZONE,),
    ) -> None:
        """Link agents whose executors all have the same free resources.

        They stand in the zones in turn.
        """
        identity = DispatchIdentity('e1', 'e1#1', 'e1', ZONE)
        self.state = DispatchState(identity, DispatchTiming(2.5))
        self.now = 100.0
        self._requests = 0
        self.post(events.ConfigurationRead(self.now, CONFIGURATION))
        for number in range(agents):
            self.link_agent(number, zones[number % len(zones)])
            self.report(f'l{number}', free)

    def post(self, event: Any) -> list[Any]:
        """Reduce an event and return its effects."""
        return reduce(self.state, event)

    def receive(self, link: str, message: Any) -> list[Any]:
        """Reduce a message."""
        return self.post(events.MessageReceived(self.now, link, message))

    def evacuate(self, revision: int, *zones: str) -> list[Any]:
        """Let the entry read from the store which zones are evacuated."""
        evacuation = EvacuatedZones(revision, zones)
        return self.post(events.EvacuationsRead(self.now, evacuation))

    def submit(self, name: str, tasks: int = 4, cpu: int = 1000) -> list[Any]:
        """Submit a job."""
        return self.submit_job(job_of(name, tasks, cpu))

    def submit_job(self, job: JobRequest) -> list[Any]:
        """Submit a job."""
        self._requests += 1
        return self.post(
            events.JobSubmitted(
                self.now,
                self._requests,
                QUEUE.host,
                QUEUE.prefix + job.job_id,
                job,
                '',
                None,
            ),
        )

    def report(
        self,
        link: str,
        free: Resources,
        starts: int = 0,
        labels: tuple[str, ...] = (),
        *,
        cold: bool = False,
        told: EvacuatedZones = UNREAD_ZONES,
    ) -> list[Any]:
        """Let an agent report the free resources of its executor.

        It accepts tasks unless it was `told` that its zone is evacuated.
        """
        agent = self.state.agents[link]
        evacuated = agent.zone in told.zones
        return self.receive(
            link,
            work.ExecutorReport(
                link,
                SERVICE,
                labels,
                CAPACITY,
                free,
                accepting=not evacuated,
                starts_seen=starts,
                cold=cold,
                evacuated=evacuated,
                zones_revision=told.revision,
            ),
        )

    def link_agent(self, number: int, zone: str = ZONE) -> list[Any]:
        """Link an agent that lists no runs; return what it is told first."""
        link = f'l{number}'
        self.post(events.LinkUp(self.now, link, dialled=False))
        hello = work.AgentHello(f'a{number}', f'a{number}#1', zone)
        told = self.receive(link, hello)
        self.receive(link, work.RunningTasks(()))
        return told
