#pragma once

#include <experiment/cell.h>

#include <chrono>
#include <memory>
#include <string>

namespace cowsliprock::experiment {

/// Time that a daemon has between SIGTERM and SIGKILL.
constexpr std::chrono::seconds graceTime{ 6 };

/// A simulated worker behind its proxy.
struct Cell::Worker
{
    std::unique_ptr<standincell::WorkerModel> model;
    std::unique_ptr<standincell::WorkerServer> server;
    std::unique_ptr<FaultProxy> proxy;
    std::string address;
    bool draining = false;
    bool isolated = false; ///< Separated from the store by a partition.
    standincell::WorkerFault fault = standincell::WorkerFault::Healthy;
};

/// A daemon process with its own store and policy servers and its proxies.
struct Cell::Daemon
{
    std::string name;
    std::string ip;
    std::unique_ptr<standincell::StoreServer> store;
    std::unique_ptr<standincell::AdviceServer> advice;
    std::unique_ptr<FaultProxy> storeProxy;
    std::unique_ptr<FaultProxy> clientProxy;
    std::unique_ptr<FaultProxy> peerProxy;
    std::unique_ptr<DaemonProcess> process;
    SocketAddress frontAddress;
    SocketAddress advertisedPeerAddress;
    SocketAddress storeAddress;
    SocketAddress adviceAddress;
    std::uint32_t failedProbes = 0; ///< Consecutive failures of the readiness probe.
    bool exitExpected = false;      ///< SIGTERM or SIGKILL was sent since the last exit.
};

} // namespace cowsliprock::experiment
