#include "almondridge/peers/peerexchange.h"

#include "exchangecore.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace almondridge::peers {
namespace {

bool isTopic(const std::string &topic)
{
    return !topic.empty() && std::all_of(topic.begin(), topic.end(), [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9')
               || letter == '-';
    });
}

Result<void> checkSettings(const ExchangeSettings &settings)
{
    const auto refuse = [](const char *what, const char *remedy) {
        return fail(ErrorKind::InvalidInput, what, remedy);
    };
    if (settings.instance_.empty() || settings.domain_.empty()) {
        return refuse("an instance has no id or failure domain", "set both");
    }
    if (settings.key_.size() < MinKeyBytes) {
        return refuse("the peer key is too short", "use 16 characters or more");
    }
    if (settings.interval_ < millis(1) || settings.timeout_ < 2 * settings.interval_) {
        return refuse("the heartbeat timeout is shorter than two intervals",
                      "make it three intervals or more");
    }
    if (settings.listen_.ip_ == "0.0.0.0" && settings.advertised_.ip_.empty()) {
        return refuse("peers cannot connect to 0.0.0.0",
                      "listen on the instance's own address, or advertise it");
    }
    for (const auto &[topic, handler] : settings.handlers_) {
        if (!isTopic(topic) || topic == "heartbeat") {
            return refuse("a handler's topic is reserved or invalid",
                          "use lower case letters, digits and hyphens; \"heartbeat\" is reserved");
        }
    }
    return {};
}

} // namespace

struct PeerExchange::Builder::Parts
{
    ExchangeSettings settings_;
};

struct PeerExchange::State
{
    ExchangeSettings settings_;
    std::vector<PeerAddress> seeds_; ///< Given before start().
    std::unique_ptr<ExchangeCore> core_;

    static std::unique_ptr<State> from(const Builder::Parts &parts)
    {
        auto state = std::make_unique<State>();
        state->settings_ = parts.settings_;
        return state;
    }
};

PeerExchange::PeerExchange(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }

PeerExchange::~PeerExchange() = default;

Result<void> PeerExchange::start()
{
    BOOST_LEAF_CHECK(checkSettings(state_->settings_));
    const PeerAddress &address = state_->settings_.listen_;
    std::uint16_t port = 0;
    OwnedDescriptor listener = listenOn(address, port);
    if (!listener.valid()) {
        return fail(ErrorKind::Unavailable,
                    "cannot listen on " + toString(address) + ": " + std::strerror(errno),
                    "choose an address of this machine and a free port");
    }
    state_->core_ = std::make_unique<ExchangeCore>(state_->settings_, std::move(listener), port);
    state_->core_->membership().seed(state_->seeds_);
    state_->core_->start();
    return {};
}

void PeerExchange::stop()
{
    if (state_->core_) {
        state_->core_->stop();
    }
}

std::uint16_t PeerExchange::port() const noexcept
{
    return state_->core_ ? state_->core_->port() : 0;
}

void PeerExchange::seed(const std::vector<PeerAddress> &addresses)
{
    if (!state_->core_) {
        state_->seeds_ = addresses;
        return;
    }
    state_->core_->membership().seed(addresses);
    state_->core_->wakeUp();
}

std::vector<Member> PeerExchange::members() const
{
    return state_->core_ ? state_->core_->membership().members() : std::vector<Member>();
}

Result<nlohmann::json> PeerExchange::request(const InstanceId &to, const std::string &topic,
                                             const nlohmann::json &message, TimePoint deadline)
{
    if (!isTopic(topic) || topic == "heartbeat") {
        return fail(ErrorKind::InvalidInput, "invalid topic: '" + topic + "'",
                    "use lower case letters, digits and hyphens; \"heartbeat\" is reserved");
    }
    if (!state_->core_) {
        return fail(ErrorKind::Unavailable, "the exchange was not started", "start it first");
    }
    CallOutcome outcome = state_->core_->request(to, topic, message, deadline);
    if (Error *error = std::get_if<Error>(&outcome)) {
        return fail(std::move(*error));
    }
    return std::move(std::get<nlohmann::json>(outcome));
}

void PeerExchange::setLeaving()
{
    if (state_->core_) {
        state_->core_->setLeaving();
    }
}

void PeerExchange::heartbeatNow()
{
    if (state_->core_) {
        state_->core_->heartbeatNow();
    }
}

PeerExchange::Builder::Builder()
    : parts_(std::make_shared<Parts>())
{ }

PeerExchange::Builder &PeerExchange::Builder::self(InstanceId instance, DomainId domain)
{
    parts_->settings_.instance_ = std::move(instance);
    parts_->settings_.domain_ = std::move(domain);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::listen(PeerAddress address)
{
    parts_->settings_.listen_ = std::move(address);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::advertise(PeerAddress address)
{
    parts_->settings_.advertised_ = std::move(address);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::key(std::string sharedKey)
{
    parts_->settings_.key_ = std::move(sharedKey);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::heartbeat(Duration interval, Duration timeout)
{
    parts_->settings_.interval_ = interval;
    parts_->settings_.timeout_ = timeout;
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::budget(double bytesPerSecond)
{
    parts_->settings_.budgetBytesPerSecond_ = bytesPerSecond;
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::timeline(observe::Timeline &timeline)
{
    parts_->settings_.timeline_ = &timeline;
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::digest(DigestSource source)
{
    parts_->settings_.digest_ = std::move(source);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::onDigest(DigestListener listener)
{
    parts_->settings_.onDigest_ = std::move(listener);
    return *this;
}

PeerExchange::Builder &PeerExchange::Builder::handle(std::string topic, RequestHandler handler)
{
    parts_->settings_.handlers_[std::move(topic)] = std::move(handler);
    return *this;
}

std::unique_ptr<PeerExchange> PeerExchange::Builder::build()
{
    return std::unique_ptr<PeerExchange>(new PeerExchange(State::from(*parts_)));
}

} // namespace almondridge::peers
