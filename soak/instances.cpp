#include "instances.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace almondridge::soak {
namespace {

/**
 * A port that nobody uses now. Below those that the system gives to outgoing connections: one of
 * those was taken by a connection while its instance was down, and the instance could not start.
 */
std::uint16_t freePort(async::EventLoop &loop)
{
    constexpr int First = 12'000;
    constexpr int Count = 20'000;
    static int next = ::getpid() * 61 % Count;
    for (int tries = 0; tries < Count; ++tries) {
        next = (next + 1) % Count;
        const auto port = static_cast<std::uint16_t>(First + next);
        boost::system::error_code taken;
        boost::asio::ip::tcp::acceptor probe(loop.context());
        probe.open(boost::asio::ip::tcp::v4(), taken);
        probe.bind({boost::asio::ip::make_address_v4("127.0.0.1"), port}, taken);
        if (!taken) {
            return port;
        }
    }
    return 0;
}

} // namespace

InstanceProcess::InstanceProcess(async::EventLoop &loop, Ledger &ledger, std::string program,
                                 std::string directory, int number, const net::Address &store)
    : loop_(loop)
    , ledger_(ledger)
    , program_(std::move(program))
    , directory_(std::move(directory))
    , name_("instance-" + std::to_string(number))
    , callers_ {"127.0.0.1", freePort(loop)}
    , health_ {"127.0.0.1", freePort(loop)}
    , peerPort_(freePort(loop))
    , storeLink_(loop, store)
{
    writeSettings();
}

InstanceProcess::~InstanceProcess()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
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
                                   {"secondSendSlack", 100},
                                   {"expectedPrefillShare", 0.5}};
    std::ofstream(directory_ + "/" + name_ + ".json") << settings.dump(2);
}

void InstanceProcess::start()
{
    const std::string log = directory_ + "/" + name_ + ".log";
    const std::string settings = directory_ + "/" + name_ + ".json";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    constexpr mode_t LogMode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string verb = "entry";
    std::string option = "--settings=" + settings;
    std::array<char *, 4> arguments {program_.data(), verb.data(), option.data(), nullptr};
    pid_t started = 0;
    if (::posix_spawn(&started, program_.c_str(), &files, nullptr, arguments.data(), environ)
        == 0) {
        pid_ = started;
        ++lifetime_;
    }
    posix_spawn_file_actions_destroy(&files);
    expectedEnd_ = false;
    paused_ = false;
    stopping_ = false;
    ready_ = false;
}

void InstanceProcess::kill()
{
    if (running()) {
        expectedEnd_ = true;
        ::kill(pid_, SIGKILL);
        ready_ = false;
    }
}

void InstanceProcess::terminate()
{
    if (running()) {
        expectedEnd_ = true;
        stopping_ = true;
        ::kill(pid_, SIGTERM);
    }
}

void InstanceProcess::pause()
{
    if (running()) {
        paused_ = true;
        ::kill(pid_, SIGSTOP);
    }
}

void InstanceProcess::resume()
{
    if (running()) {
        paused_ = false;
        ::kill(pid_, SIGCONT);
    }
}

void InstanceProcess::reload()
{
    if (running()) {
        ::kill(pid_, SIGHUP);
    }
}

void InstanceProcess::watch()
{
    int status = 0;
    if (!running() || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return;
    }
    if (!expectedEnd_) {
        ledger_.violate(Promise::StaysUp,
                        name_ + " ended by itself with status " + std::to_string(status));
    }
    pid_ = 0;
    ready_ = false;
}

} // namespace almondridge::soak
