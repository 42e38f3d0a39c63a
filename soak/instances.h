/**
 * The instances under test: real processes, each with its own settings, log and way to the store.
 */
#pragma once

#include "ledger.h"
#include "process.h"
#include "proxy.h"

#include <optional>

namespace almondridge::soak {

/** What the settings say of the machine of each instance. */
inline constexpr int MachineMemoryMb = 64;
inline constexpr int MachineDescriptors = 400;

class InstanceProcess
{
public:
    InstanceProcess(async::EventLoop &loop, Ledger &ledger, std::string program,
                    std::string directory, int number, const net::Address &store);

    void start();
    void kill();
    /** A planned stop; it ends by itself. */
    void terminate();
    void pause();
    void resume();
    void reload();
    /** Looks whether the process has ended. One that ends by itself breaks a promise. */
    void watch();

    bool running() const noexcept { return process_.has_value(); }
    bool paused() const noexcept { return paused_; }
    bool stopping() const noexcept { return stopping_; }
    /** Callers may be sent here, as its own answer was when last asked. */
    bool ready() const noexcept { return running() && ready_; }
    void setReady(bool ready) { ready_ = ready; }
    const net::Address &callers() const noexcept { return callers_; }
    const net::Address &health() const noexcept { return health_; }
    Proxy &storeLink() noexcept { return storeLink_; }
    const std::string &name() const noexcept { return name_; }
    TimePoint startedAt() const noexcept { return startedAt_; }
    /** Rises with each start: a configuration may not go back within one. */
    int lifetime() const noexcept { return lifetime_; }

private:
    void writeSettings() const;
    void watchMachine();

    Ledger &ledger_;
    std::string program_;
    std::string directory_;
    std::string name_;
    net::Address callers_;
    net::Address health_;
    int peerPort_;
    Proxy storeLink_;
    std::optional<testing::Process> process_ {};
    int lifetime_ = 0;
    TimePoint startedAt_ {};
    bool expectedEnd_ = false;
    bool paused_ = false;
    bool stopping_ = false;
    bool ready_ = false;
};

} // namespace almondridge::soak
