#include "instances.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace almondridge::soak {

InstanceProcess::InstanceProcess(async::EventLoop &loop, Ledger &ledger, std::string program,
                                 std::string directory, int number, const net::Address &store)
    : ledger_(ledger)
    , program_(std::move(program))
    , directory_(std::move(directory))
    , name_("instance-" + std::to_string(number))
    , callers_ {"127.0.0.1", testing::freePort()}
    , health_ {"127.0.0.1", testing::freePort()}
    , peerPort_(testing::freePortPair())
    , storeLink_(loop, store)
{
    writeSettings();
}

void InstanceProcess::writeSettings() const
{
    const nlohmann::json settings {{"instance", name_},
                                   {"domain", "z"},
                                   {"ip", "127.0.0.1"},
                                   {"listen", net::toString(callers_)},
                                   {"healthListen", net::toString(health_)},
                                   {"firstPeerPort", peerPort_},
                                   {"store", net::toString(storeLink_.address())},
                                   {"requestKeySecret", "soak"},
                                   {"memoryMb", MachineMemoryMb},
                                   {"maxDescriptors", MachineDescriptors},
                                   {"secondSendSlack", 100}};
    std::ofstream(directory_ + "/" + name_ + ".json") << settings.dump(2);
}

void InstanceProcess::start()
{
    process_.emplace(std::vector<std::string> {program_, "entry",
                                               "--settings=" + directory_ + "/" + name_ + ".json"},
                     directory_ + "/" + name_ + ".log");
    ++lifetime_;
    startedAt_ = BootClock::now();
    expectedEnd_ = false;
    paused_ = false;
    stopping_ = false;
    ready_ = false;
}

void InstanceProcess::kill()
{
    if (running()) {
        expectedEnd_ = true;
        process_->signal(SIGKILL);
        ready_ = false;
    }
}

void InstanceProcess::terminate()
{
    if (running()) {
        expectedEnd_ = true;
        stopping_ = true;
        process_->signal(SIGTERM);
    }
}

void InstanceProcess::pause()
{
    if (running()) {
        paused_ = true;
        process_->signal(SIGSTOP);
    }
}

void InstanceProcess::resume()
{
    if (running()) {
        paused_ = false;
        process_->signal(SIGCONT);
    }
}

void InstanceProcess::reload()
{
    if (running()) {
        process_->signal(SIGHUP);
    }
}

void InstanceProcess::watch()
{
    if (!running()) {
        return;
    }
    if (process_->running()) {
        watchMachine();
        return;
    }
    if (!expectedEnd_) {
        ledger_.violate(Promise::StaysUp,
                        name_ + " ended by itself with status " + std::to_string(process_->wait()));
    }
    process_.reset();
    ready_ = false;
}

void InstanceProcess::watchMachine()
{
    constexpr long KilobytesPerMb = 1'024;
    const long megabytes = process_->residentKilobytes() / KilobytesPerMb;
    const int descriptors = process_->openDescriptors();
    if (megabytes > MachineMemoryMb || descriptors > MachineDescriptors) {
        ledger_.violate(Promise::WithinMachine, fmt::format("{} takes {} MB and {} descriptors",
                                                            name_, megabytes, descriptors));
    }
}

} // namespace almondridge::soak
