"""The fault proxy: TCP links that can be cut, delayed, frozen or made deaf.

One process carries many links; each is set up and changed at a control port.
"""

from standins.proxy.links import Link, LinkMode
from standins.proxy.running import ProxyOptions, ProxyStandin, start_proxy

__all__ = ["Link", "LinkMode", "ProxyOptions", "ProxyStandin", "start_proxy"]
