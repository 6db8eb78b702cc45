#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace review {

/// What a client has got: status 0 if it got no complete answer in time.
struct Answer
{
    int status = 0;
    std::string body;
    std::string detail;
};

/// A connection that carries one request at a time.
class Connection
{
public:
    explicit Connection(const std::string &address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    Answer send(const std::string &method, const std::string &target,
                const std::vector<std::string> &headers, const std::string &body,
                std::chrono::milliseconds timeout);

private:
    int m_handle;
};

/// Sends one HTTP request on a connection of its own and waits for the answer.
Answer request(const std::string &address, const std::string &method, const std::string &target,
               const std::vector<std::string> &headers, const std::string &body,
               std::chrono::milliseconds timeout);

} // namespace review
