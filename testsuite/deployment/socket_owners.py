"""Finds the process that opened a connection on loopback, as all come from 127.0.0.1."""

import os
import socket
import struct
import threading
import time

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
TCP_ESTABLISHED_MESSAGE = struct.Struct("=IHHII")
INODE_OFFSET = 16 + 68
ANY_STATE = 0xffffffff
NO_COOKIE = 0xffffffff
SCAN_INTERVAL_S = 0.05


def find_inode(diag, local, peer):
    """Returns the inode of the TCP socket with these addresses, or 0."""
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE)
    request += struct.pack(">HH", local[1], peer[1])
    request += socket.inet_aton(local[0]) + bytes(12) + socket.inet_aton(peer[0]) + bytes(12)
    request += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    header = TCP_ESTABLISHED_MESSAGE.pack(
        TCP_ESTABLISHED_MESSAGE.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    diag.send(header + request)
    response = diag.recv(4096)
    if TCP_ESTABLISHED_MESSAGE.unpack_from(response)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", response, INODE_OFFSET)[0]


class SocketOwners:
    """Notes the inode at once, and looks for the process that has it open on a thread. A socket that is closed meanwhile
    has no owner."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.owners, self.wanted = {}, set()
        self.diag = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG)
        self.over = False
        threading.Thread(target=self.scan_wanted, daemon=True).start()

    def note(self, local, peer):
        """Returns a key for `name_of`."""
        inode = find_inode(self.diag, local, peer)
        if inode and inode not in self.owners:
            self.wanted.add(inode)
        return inode

    def name_of(self, inode):
        return self.owners.get(inode)

    def scan_wanted(self):
        while not self.over:
            time.sleep(SCAN_INTERVAL_S)
            if self.wanted:
                wanted, self.wanted = self.wanted, set()
                self.scan(wanted)

    def scan(self, wanted):
        for host in self.hosts:
            folder = f"/proc/{host.process.pid}/fd" if host.process else ""
            try:
                files = os.listdir(folder)
            except OSError:
                continue
            for file in files:
                try:
                    target = os.readlink(f"{folder}/{file}")
                except OSError:
                    continue
                if target.startswith("socket:["):
                    inode = int(target[8:-1])
                    if inode in wanted:
                        self.owners[inode] = host.name

    def close(self):
        self.over = True
