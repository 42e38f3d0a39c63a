#include "relaycontext.h"

#include <cctype>
#include <random>
#include <utility>

namespace almondridge::relay {
namespace {

std::string hex(std::uint64_t number)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += Digits[(number >> static_cast<unsigned>(shift)) & 0xfU];
    }
    return text;
}

/** The instance's name with characters that are not allowed in a path replaced by '_'. */
std::string pathSafe(const std::string &name)
{
    std::string safe = name;
    for (char &character : safe) {
        const bool isAllowed =
            std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-';
        character = isAllowed ? character : '_';
    }
    return safe;
}

admission::Admission buildAdmission(const fleet::Settings &settings)
{
    const auto streams = static_cast<std::size_t>(settings.maxStreams_);
    return admission::Admission::Builder().maxQueued(streams).maxRunning(streams).build();
}

routing::Router buildRouter(const fleet::Settings &settings)
{
    return routing::Router::Builder()
        .domain(settings.domain_)
        .reportStaleAfter(millis(settings.reportStaleMillis_))
        .build();
}

} // namespace

RequestIdGenerator::RequestIdGenerator(const InstanceId &instance)
{
    // A restarted instance with the same name must not reuse its predecessor's request ids, because
    // an engine may still hold their streams.
    std::random_device source;
    const std::uint64_t incarnation = (static_cast<std::uint64_t>(source()) << 32U) | source();
    prefix_ = pathSafe(instance.value()) + "-" + hex(incarnation) + "-";
}

RequestId RequestIdGenerator::next()
{
    return RequestId(prefix_ + std::to_string(++last_));
}

RelayContext::RelayContext(fleet::Settings settings, KeyClaims &claims, observe::Metrics &metrics,
                           observe::Timeline &timeline, FleetSource source)
    : settings_(std::move(settings))
    , claims_(claims)
    , metrics_(metrics)
    , timeline_(timeline)
    , source_(std::move(source))
    , router_(buildRouter(settings_))
    , admission_(buildAdmission(settings_))
    , canceller_(metrics, millis(settings_.connectTimeoutMillis_))
    , ids_(settings_.instance_)
{
    admission_.setCapacitySource([this](const ModelId &model) { updateAdmissionCapacity(model); });
}

void RelayContext::updateAdmissionCapacity(const ModelId &model)
{
    const std::shared_ptr<const FleetView> fleet = view();
    const int engines = fleet ? fleet->engineCount(model, settings_.domain_) : 0;
    if (const auto capacity = router_.capacityOf(model, engines)) {
        admission_.setCapacity(model, *capacity);
    }
}

std::shared_ptr<const FleetView> RelayContext::view()
{
    std::shared_ptr<const fleet::Fleet> fleet = source_ ? source_() : nullptr;
    {
        const std::lock_guard lock(viewMutex_);
        if (!fleet || (view_ && view_->shared() == fleet)) {
            return view_;
        }
    }
    setFleet(std::move(fleet));
    const std::lock_guard lock(viewMutex_);
    return view_;
}

void RelayContext::setFleet(std::shared_ptr<const fleet::Fleet> fleet)
{
    auto view = std::make_shared<const FleetView>(fleet);
    router_.with([&](routing::Router &router) { router.setFleet(fleet); });
    admission_.with([&](admission::Admission &admission) { admission.setFleet(fleet); });
    const std::lock_guard lock(viewMutex_);
    view_ = std::move(view);
}

} // namespace almondridge::relay
