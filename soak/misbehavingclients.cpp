#include "misbehavingclients.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace almondridge::soak {
namespace {

constexpr int ClientsOfACrowd = 90;
constexpr std::size_t BlockBytes = 16'384;
constexpr std::size_t EndlessBytes = 2'000'000;
constexpr std::size_t ShortOfEnd = 10;

struct Behaviour
{
    std::string headers_; ///< Of the request, with the end of the head, and what follows it.
    std::string repeated_;
    std::size_t bytes_; ///< Of repeated_, in all.
    bool readsAnswers_ = true;
};

std::string requestLines(std::string_view method)
{
    return fmt::format("{} /safe/m HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n", method,
                       MisbehavingId);
}

std::array<Behaviour, 8> behaviours()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string length = fmt::format("Content-Length: {}\r\n\r\n", SoakBodyBytes);
    const std::string get = "\r\n" + requestLines("GET") + "\r\n";
    return {{
        {chunked + "0\r\n", "a:b\r\n", EndlessBytes},
        {chunked + "1;", "x", EndlessBytes},
        {chunked, "1\r\nc\r\n", 6 * (SoakBodyBytes - ShortOfEnd)},
        {length, "b", SoakBodyBytes - ShortOfEnd},
        {length, "b", SoakBodyBytes},
        {"Content-Length: 1000000000\r\n\r\n", "b", EndlessBytes},
        {"", "a:b\r\n", EndlessBytes},
        {get, get.substr(2), EndlessBytes, false},
    }};
}

} // namespace

MisbehavingClients::MisbehavingClients(async::EventLoop &loop, std::uint64_t seed)
    : loop_(loop)
    , random_(seed)
{ }

void MisbehavingClients::sendCrowd(const InstanceProcess &instance)
{
    for (const Client &client : clients_) {
        client.connection_->close();
    }
    clients_.clear();
    ++crowd_;
    const auto all = behaviours();
    const Behaviour &behaviour = all.at(random_() % all.size());
    block_ = behaviour.repeated_;
    while (block_.size() + behaviour.repeated_.size() <= BlockBytes) {
        block_ += behaviour.repeated_;
    }
    for (int number = 0; number < ClientsOfACrowd; ++number) {
        Client &client = clients_.emplace_back();
        client.left_ = behaviour.bytes_;
        client.connection_ = async::Connection::connect(loop_, instance.callers(),
                                                        BootClock::now() + millis(1'000), {});
        if (!behaviour.readsAnswers_) {
            client.connection_->pauseReading();
        }
        client.connection_->onInput([&client] { client.connection_->input().clear(); });
        client.connection_->onWritten([this, &client, crowd = crowd_] {
            loop_.post([this, &client, crowd] {
                if (crowd == crowd_) {
                    sendMore(client);
                }
            });
        });
        client.connection_->write(requestLines("POST") + behaviour.headers_);
        ++sent_;
    }
}

void MisbehavingClients::sendMore(Client &client)
{
    const std::size_t count = std::min(block_.size(), client.left_);
    if (count > 0 && client.connection_->isOpen()) {
        client.left_ -= count;
        client.connection_->write(std::string_view(block_).substr(0, count));
    }
}

} // namespace almondridge::soak
