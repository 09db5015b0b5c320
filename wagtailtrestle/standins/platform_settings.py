"""Validated settings of the platform stand-in."""

import yaml

DEFAULT_THREADS = 128
DEFAULT_VM_LIST_LAG_S = 1.0
USAGE_STATUS = 2
VM_FIELDS = ("id", "role", "zone", "address", "admin", "state")
VM_ROLES = ("router", "engine")
VM_STATES = ("live", "leaving")


class PlatformSettings:
    """Settings of one platform stand-in.

    Parameters
    ----------
    host : str
    port : int
        0 for any free port.
    name : str
    threads : int
        Each waiting watch and each silent connection occupies one.
    vm_list_lag_s : float
        Delay of the list of VMs.
    vms : list of dict
        Initial list of VMs.
    """

    __slots__ = ("host", "port", "name", "threads", "vm_list_lag_s", "vms")

    def __init__(
        self,
        *,
        host,
        port,
        name="platform",
        threads=DEFAULT_THREADS,
        vm_list_lag_s=DEFAULT_VM_LIST_LAG_S,
        vms=(),
    ):
        self.host = host
        self.port = port
        self.name = name
        self.threads = threads
        self.vm_list_lag_s = vm_list_lag_s
        self.vms = vms


def load_platform_settings(path):
    """Read and validate a settings file.

    Returns
    -------
    PlatformSettings or list of str
        All problems, if there are any.
    """
    try:
        with open(path, encoding="utf-8") as file:
            fields = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        return [f"{path}: {error}"]
    return parse_platform_settings(fields)


def parse_platform_settings(fields):
    """Validate settings parsed from YAML; see :func:`load_platform_settings`."""
    if not isinstance(fields, dict):
        return ["settings: must be a mapping"]
    allowed = ("listen", "name", "threads", "vm_list_lag_s", "vms")
    problems = [f"{name}: unknown, allowed: {', '.join(allowed)}" for name in fields if name not in allowed]
    host, port = _split_listen(fields.get("listen"), problems)
    threads = fields.get("threads", DEFAULT_THREADS)
    if not isinstance(threads, int) or not 1 <= threads <= 2000:
        problems.append("threads: must be a whole number from 1 to 2000")
    lag_s = fields.get("vm_list_lag_s", DEFAULT_VM_LIST_LAG_S)
    if not isinstance(lag_s, int | float) or lag_s < 0:
        problems.append("vm_list_lag_s: must be seconds from 0")
    vms = fields.get("vms") or []
    problems.extend(check_vms(vms))
    if problems:
        return problems
    name = str(fields.get("name", "platform"))
    return PlatformSettings(host=host, port=port, name=name, threads=threads, vm_list_lag_s=lag_s, vms=vms)


def check_vms(vms):
    """Return the problems of a list of VMs, as strings."""
    if not isinstance(vms, list):
        return ["vms: must be a list"]
    problems = []
    for number, vm in enumerate(vms):
        problems.extend(f"vms[{number}]: {problem}" for problem in _check_vm(vm))
    return problems


def _check_vm(vm):
    if not isinstance(vm, dict):
        yield "must be an object"
        return
    for name in vm:
        if name not in VM_FIELDS:
            yield f"{name}: unknown, allowed: {', '.join(VM_FIELDS)}"
    for name in ("id", "address"):
        if not isinstance(vm.get(name), str) or not vm[name]:
            yield f"{name}: must be text"
    if vm.get("role") not in VM_ROLES:
        yield f"role: must be one of {', '.join(VM_ROLES)}"
    if vm.get("state", "live") not in VM_STATES:
        yield f"state: must be one of {', '.join(VM_STATES)}"


def _split_listen(listen, problems):
    host, _, port = str(listen or "").rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        problems.append("listen: must be HOST:PORT")
        return "", 0
    return host, int(port)
