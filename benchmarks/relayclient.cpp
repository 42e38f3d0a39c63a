#include "relayclient.h"

#include "almondridge/net/httpexchange.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace almondridge::bench {
namespace {

constexpr std::string_view LastEvent = "data: [DONE]\n\n";

struct StreamResult
{
    bool whole_ = false;
    double firstTokenMillis_ = 0;
    int tokens_ = 0;
};

std::string promptOf(std::uint64_t number)
{
    std::string prompt;
    for (int word = 0; word < 8; ++word) {
        prompt += 'p';
        prompt += std::to_string(number * 8 + static_cast<std::uint64_t>(word));
        prompt += ' ';
    }
    return prompt;
}

net::Request requestOf(std::uint64_t number, int tokens)
{
    const nlohmann::json body = {
        {"model", "m"}, {"prompt", promptOf(number)}, {"max_tokens", tokens}, {"stream", true}};
    return {"POST",
            "/v1/completions",
            {{"Content-Type", "application/json"}, {"Connection", "close"}},
            body.dump()};
}

/** Reads to the end; every event ends in two line feeds and has no other. */
Result<StreamResult> readStream(net::HttpExchange &exchange, TimePoint start, TimePoint deadline)
{
    StreamResult result;
    std::array<char, 16'384> buffer {};
    std::string tail;
    std::ptrdiff_t lineFeeds = 0;
    BOOST_LEAF_AUTO(head, exchange.readHead(deadline));
    for (;;) {
        BOOST_LEAF_AUTO(read, exchange.readSome(buffer, deadline));
        if (read.status_ != net::ReadStatus::Data) {
            break;
        }
        if (result.firstTokenMillis_ == 0) {
            result.firstTokenMillis_ = 1e3 * toSeconds(BootClock::now() - start);
        }
        const std::string_view bytes(buffer.data(), read.size_);
        lineFeeds += std::count(bytes.begin(), bytes.end(), '\n');
        tail += bytes;
        tail.erase(0, tail.size() - std::min(tail.size(), LastEvent.size()));
    }
    result.tokens_ = static_cast<int>(lineFeeds / 2 - 1);
    result.whole_ = head.status_ == 200 && tail == LastEvent;
    return result;
}

StreamResult callStream(const net::Address &address, std::uint64_t number, int tokens)
{
    const TimePoint start = BootClock::now();
    const TimePoint deadline = start + millis(StreamDeadlineMillis);
    const auto outcome = capture([&]() -> Result<StreamResult> {
        BOOST_LEAF_AUTO(exchange, net::HttpExchange::connect(address, deadline));
        BOOST_LEAF_CHECK(exchange.send(requestOf(number, tokens), deadline));
        return readStream(exchange, start, deadline);
    });
    if (outcome.index() == 1) {
        return {};
    }
    StreamResult result = std::get<0>(outcome);
    result.whole_ = result.whole_ && result.tokens_ == tokens;
    return result;
}

std::atomic<std::uint64_t> nextPrompt {1};

/**
 * A pause before a stream. An answer ends with a step of its engine; a client that came back at
 * once would always meet the beginning of the next step, and what the entry adds would vanish in
 * the wait for that step's end.
 */
std::chrono::duration<double> pauseOf(std::minstd_rand &random)
{
    constexpr double LongestPause = 0.02;
    return std::chrono::duration<double>(std::uniform_real_distribution(0.0, LongestPause)(random));
}

} // namespace

double Tally::quantile(double share)
{
    if (firstTokenMillis_.empty()) {
        return 0;
    }
    const auto at =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(firstTokenMillis_.size() - 1));
    std::nth_element(firstTokenMillis_.begin(), firstTokenMillis_.begin() + at,
                     firstTokenMillis_.end());
    return firstTokenMillis_[static_cast<std::size_t>(at)];
}

void runTurn(const std::vector<net::Address> &addresses, const Load &load, double seconds,
             Tally &tally)
{
    std::mutex mutex;
    const TimePoint start = BootClock::now();
    const TimePoint end = start + millis(static_cast<std::int64_t>(seconds * 1e3));
    std::vector<std::jthread> clients;
    clients.reserve(static_cast<std::size_t>(load.streams_));
    for (int client = 0; client < load.streams_; ++client) {
        clients.emplace_back([&, client] {
            std::minstd_rand random(static_cast<unsigned>(client) + 1);
            std::this_thread::sleep_for(load.startOf(client));
            for (std::size_t at = static_cast<std::size_t>(client); BootClock::now() < end; ++at) {
                std::this_thread::sleep_for(pauseOf(random));
                const StreamResult result =
                    callStream(addresses[at % addresses.size()], nextPrompt++, load.tokens_);
                const std::lock_guard lock(mutex);
                ++tally.streams_;
                tally.broken_ += result.whole_ ? 0 : 1;
                tally.tokens_ += result.tokens_;
                if (result.whole_) {
                    tally.firstTokenMillis_.push_back(result.firstTokenMillis_);
                }
            }
        });
    }
    clients.clear();
    tally.seconds_ += toSeconds(BootClock::now() - start);
}

} // namespace almondridge::bench
