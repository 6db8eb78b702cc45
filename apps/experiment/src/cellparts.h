#pragma once

#include <experiment/cell.h>

#include <chrono>
#include <memory>
#include <string>

namespace cowsliprock::experiment {

/// From the request to end until a daemon is killed.
constexpr std::chrono::seconds graceTime{ 6 };

struct Cell::Worker
{
    std::unique_ptr<standincell::WorkerModel> model;
    std::unique_ptr<standincell::WorkerServer> server;
    std::unique_ptr<FaultProxy> proxy;
    std::string address;
    bool draining = false;
    standincell::WorkerFault fault = standincell::WorkerFault::Healthy;
};

struct Cell::Daemon
{
    std::string name;
    std::string ip;
    std::unique_ptr<standincell::StoreServer> store;
    std::unique_ptr<standincell::AdviceServer> advice;
    std::unique_ptr<FaultProxy> storeProxy;
    std::unique_ptr<FaultProxy> clientProxy;
    std::unique_ptr<DaemonProcess> process;
    SocketAddress front;
    SocketAddress storeAddress;
    SocketAddress adviceAddress;
    std::uint32_t misses = 0;
    bool told = false; ///< A signal that ends it was sent.
};

} // namespace cowsliprock::experiment
