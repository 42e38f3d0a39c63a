#include "proxy.h"

#include "later.h"

namespace almondridge::soak {
namespace {

constexpr Duration DelayTime = millis(150);
constexpr Duration ConnectTime = millis(2'000);

} // namespace

Proxy::Proxy(async::EventLoop &loop, net::Address target)
    : loop_(loop)
    , target_(std::move(target))
    , acceptor_(loop.context(), {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    , port_(acceptor_.local_endpoint().port())
{
    accept();
}

void Proxy::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &failure,
                                  async::Connection::Socket socket) {
        if (failure) {
            return;
        }
        auto pair = std::make_shared<Pair>();
        pair->near_ = async::Connection::adopt(loop_, std::move(socket), {});
        pair->far_ = async::Connection::connect(loop_, target_, BootClock::now() + ConnectTime, {});
        join(pair);
        accept();
    });
}

void Proxy::join(const std::shared_ptr<Pair> &pair)
{
    pairs_.push_back(pair);
    pair->dead_ = fault_ == LinkFault::Silence;
    if (fault_ == LinkFault::Reset) {
        end(pair);
        return;
    }
    const std::weak_ptr<Pair> weak = pair;
    const auto onClosed = [this, weak](async::CloseCause) {
        const auto self = weak.lock();
        if (self != nullptr && !self->dead_) {
            end(self);
        }
    };
    pair->near_->onClosed(onClosed);
    pair->far_->onClosed(onClosed);
    pair->near_->onInput([this, weak] {
        if (const auto self = weak.lock()) {
            pass(self, true);
        }
    });
    pair->far_->onInput([this, weak] {
        if (const auto self = weak.lock()) {
            pass(self, false);
        }
    });
    pair->near_->startReading();
}

void Proxy::pass(const std::shared_ptr<Pair> &pair, bool outward)
{
    async::Connection &from = pair->to(!outward);
    const std::string bytes = std::exchange(from.input(), {});
    const bool dropped = pair->dead_ || (fault_ == LinkFault::OneWay && !outward);
    if (dropped) {
        pair->dead_ = true; // Bytes are missing: nothing after them can be passed on.
        return;
    }
    std::deque<std::string> &delayed = pair->delayed(outward);
    if (fault_ != LinkFault::Delay && delayed.empty()) {
        pair->to(outward).write(bytes);
        return;
    }
    delayed.push_back(bytes);
    const Duration delay = fault_ == LinkFault::Delay ? DelayTime : Duration::zero();
    later(loop_, delay, [this, pair, outward] { passDelayed(pair, outward); });
}

void Proxy::passDelayed(const std::shared_ptr<Pair> &pair, bool outward)
{
    std::deque<std::string> &delayed = pair->delayed(outward);
    pair->to(outward).write(delayed.front());
    delayed.pop_front();
    if (pair->ends_) {
        end(pair);
    }
}

void Proxy::end(const std::shared_ptr<Pair> &pair)
{
    pair->ends_ = true;
    if (fault_ == LinkFault::Reset) {
        pair->near_->close();
        pair->far_->close();
    } else if (!pair->outward_.empty() || !pair->inward_.empty()) {
        return; // passDelayed() ends it.
    } else {
        // What was passed on already must arrive: only a fault of this proxy's own loses bytes.
        pair->near_->closeAfterWriting();
        pair->far_->closeAfterWriting();
    }
    loop_.post([this, pair] { pairs_.remove(pair); });
}

void Proxy::shut()
{
    boost::system::error_code ignored; // It is closed whatever it says.
    acceptor_.close(ignored);
    setFault(LinkFault::Reset);
}

void Proxy::setFault(LinkFault fault)
{
    fault_ = fault;
    if (fault == LinkFault::Reset) {
        for (const auto &pair : std::exchange(pairs_, {})) {
            pair->near_->close();
            pair->far_->close();
        }
    }
    for (const auto &pair : pairs_) {
        pair->dead_ = pair->dead_ || fault == LinkFault::Silence;
    }
}

} // namespace almondridge::soak
