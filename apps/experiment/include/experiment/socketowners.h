#pragma once

#include <eventloop/http.h>

#include <map>
#include <optional>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace cowsliprock::experiment {

/// Snapshot of the TCP connections of some processes, from procfs. Identifies the process at the
/// other end of a connection on loopback.
class SocketOwners
{
public:
    SocketOwners() = default;
    explicit SocketOwners(const std::vector<pid_t> &processes);

    /// The process with a connection from \p local to \p remote.
    [[nodiscard]] std::optional<pid_t> find(const SocketAddress &local,
                                            const SocketAddress &remote) const;

private:
    std::map<std::pair<SocketAddress, SocketAddress>, pid_t> m_owners;
};

} // namespace cowsliprock::experiment
