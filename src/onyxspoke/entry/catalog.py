"""Which work the entry knows: tenants and task classes."""

from __future__ import annotations

from onyxspoke.core.codes import RequestRefusedError, ResultCode
from onyxspoke.core.schema import TaskClass
from onyxspoke.settings_file import CellSettings


class Catalog:
    """Task classes and tenants from the settings file."""

    def __init__(self, settings: CellSettings) -> None:
        self._classes = settings.catalog()
        self._tenants = frozenset(settings.tenants)

    def task_class(self, service: str, name: str) -> TaskClass:
        """Return a task class.

        Raises
        ------
        RequestRefusedError
            With ``UNKNOWN_TASK_CLASS``.
        """
        task_class = self._classes.get((service, name))
        if task_class is None:
            raise RequestRefusedError(
                ResultCode.UNKNOWN_TASK_CLASS, f"no task class {service}/{name}"
            )
        return task_class

    def check_tenant(self, tenant: str) -> None:
        """Raise ``UNKNOWN_TENANT`` unless the tenant is known."""
        if tenant not in self._tenants:
            raise RequestRefusedError(ResultCode.UNKNOWN_TENANT, f"no tenant {tenant}")
