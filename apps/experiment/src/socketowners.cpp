#include <experiment/socketowners.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace cowsliprock::experiment {

namespace {

using Inode = std::string;

/// Inodes of the open sockets of a process. Empty if the process has ended.
std::vector<Inode> socketInodes(pid_t process)
{
    static const std::string prefix = "socket:[";
    std::vector<Inode> result;
    std::error_code error;
    const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error)) {
        std::error_code closed;
        const auto target = std::filesystem::read_symlink(entry->path(), closed).string();
        if (!closed && target.starts_with(prefix))
            result.push_back(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
    return result;
}

/// Parses an address of /proc/net/tcp: the IP as a hexadecimal word in the byte order of the
/// machine, a colon and the hexadecimal port.
SocketAddress toAddress(const std::string &text)
{
    const auto colon = text.find(':');
    const auto word = static_cast<std::uint32_t>(std::stoul(text.substr(0, colon), nullptr, 16));
    const auto port = std::stoul(text.substr(colon + 1), nullptr, 16);
    return { boost::asio::ip::address_v4(__builtin_bswap32(word)).to_string(),
             static_cast<std::uint16_t>(port) };
}

std::string readFile(const char *path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return std::move(content).str();
}

/// Removes the first line from \p text and returns it.
std::string_view nextLine(std::string_view &text)
{
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    return line;
}

/// Length of a row of /proc/net/tcp up to the end of the column of states.
constexpr std::size_t addressesLength = 36;
constexpr std::size_t stateColumn = 34;

/// True for a row of a connection that has been closed, of which a busy machine has thousands.
bool isWithoutOwner(std::string_view row)
{
    constexpr std::string_view timeWait = "06";
    return row.substr(stateColumn, timeWait.size()) == timeWait;
}

} // namespace

SocketOwners::SocketOwners(const std::vector<pid_t> &processes)
{
    std::map<Inode, pid_t> processOf;
    for (const auto process : processes) {
        for (const auto &inode : socketInodes(process))
            processOf[inode] = process;
    }
    const auto table = readFile("/proc/net/tcp");
    std::string_view rest = table;
    nextLine(rest); // Column titles.
    while (!rest.empty()) {
        const auto row = nextLine(rest);
        if (row.size() < addressesLength || isWithoutOwner(row))
            continue;
        std::istringstream fields{ std::string(row) };
        std::string local;
        std::string remote;
        std::string skipped;
        Inode inode;
        fields >> skipped >> local >> remote;
        for (int column = 0; column < 6; ++column)
            fields >> skipped;
        fields >> inode;
        if (const auto found = processOf.find(inode); found != processOf.end())
            m_owners[{ toAddress(local), toAddress(remote) }] = found->second;
    }
}

std::optional<pid_t> SocketOwners::find(const SocketAddress &local,
                                        const SocketAddress &remote) const
{
    const auto found = m_owners.find({ local, remote });
    return found == m_owners.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cowsliprock::experiment
