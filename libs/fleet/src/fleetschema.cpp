#include "fieldrules.h"
#include "fleetdraft.h"

namespace almondridge::fleet {
namespace {

constexpr std::int64_t MaxWeightBytes = std::int64_t {1} << 50;
constexpr std::int64_t MaxEngines = 100'000;
constexpr std::int64_t HourMillis = 3'600'000;
constexpr std::int64_t DayMillis = 24 * HourMillis;
constexpr std::int64_t MaxPriority = 1'000;
constexpr double MaxFactor = 1'000'000.0;
constexpr double MinShare = 0.000'001;

constexpr auto AdapterFields =
    std::make_tuple(required("id", &Adapter::id_, Text {NameText}),
                    required("version", &Adapter::version_, Text {VersionText}));

constexpr auto ModelFields = std::make_tuple(
    required("id", &Model::id_, Text {NameText}),
    required("version", &Model::version_, Text {VersionText}),
    optional("adapters", &Model::adapters_, listOf(object(AdapterFields))),
    optional("weightBytes", &Model::weightBytes_, IntegerRange {0, MaxWeightBytes}));

constexpr auto EngineFields =
    std::make_tuple(required("id", &Endpoint::id_, Text {NameText}),
                    required("domain", &Endpoint::domain_, Text {NameText}),
                    required("kind", &Endpoint::kind_, choice(EndpointKindNames)),
                    required("address", &Endpoint::address_, Text {AddressText}),
                    required("fencing", &Endpoint::fencing_, choice(FencingNames)),
                    required("model", &Endpoint::model_, Text {NameText}),
                    optional("role", &Endpoint::role_, choice(EngineRoleNames)),
                    optional("leaving", &Endpoint::leaving_, Boolean {}));

constexpr auto ServiceInstanceFields =
    std::make_tuple(required("id", &Endpoint::id_, Text {NameText}),
                    required("domain", &Endpoint::domain_, Text {NameText}),
                    required("kind", &Endpoint::kind_, choice(EndpointKindNames)),
                    required("address", &Endpoint::address_, Text {AddressText}),
                    required("service", &Endpoint::service_, Text {NameText}),
                    optional("leaving", &Endpoint::leaving_, Boolean {}));

/** The fields of an endpoint depend on its kind. */
struct EndpointRule
{
    void read(const FieldContext &at, const Json &value, Endpoint &out) const
    {
        const auto kind = value.is_object() ? value.find("kind") : value.end();
        if (kind != value.end() && *kind == nameOf(EndpointKindNames, EndpointKind::Service)) {
            object(ServiceInstanceFields).read(at, value, out);
        } else {
            object(EngineFields).read(at, value, out);
        }
    }

    /** Also writes a field of the other kind if it is set, so that reading refuses it. */
    OrderedJson write(const Endpoint &endpoint) const
    {
        if (endpoint.kind_ == EndpointKind::Service) {
            OrderedJson json = object(ServiceInstanceFields).write(endpoint);
            if (!endpoint.model_.empty()) {
                json["model"] = endpoint.model_.value();
            }
            return json;
        }
        OrderedJson json = object(EngineFields).write(endpoint);
        if (!endpoint.service_.empty()) {
            json["service"] = endpoint.service_.value();
        }
        return json;
    }
    std::string remedy() const { return "write an object"; }
};

constexpr auto RouteFields =
    std::make_tuple(required("method", &Route::method_, Text {MethodText}),
                    required("pathPrefix", &Route::pathPrefix_, Text {RoutePrefixText}),
                    required("repeatability", &Route::repeatability_, choice(RepeatabilityNames)));

constexpr auto ServiceFields =
    std::make_tuple(required("id", &Service::id_, Text {NameText}),
                    required("pathPrefix", &Service::pathPrefix_, Text {ServicePrefixText}),
                    optional("routes", &Service::routes_, listOf(object(RouteFields))));

constexpr auto AccountFields = std::make_tuple(
    required("id", &Account::id_, Text {NameText}),
    required("apiKeySha256", &Account::apiKeySha256_, Text {Sha256Text}),
    optional("share", &Account::share_, NumberRange {MinShare, MaxFactor}),
    optional("priority", &Account::priority_, IntegerRange {-MaxPriority, MaxPriority}));

constexpr auto RoleBoundsFields =
    std::make_tuple(required("domain", &RoleBounds::domain_, Text {NameText}),
                    required("model", &RoleBounds::model_, Text {NameText}),
                    required("minPrefill", &RoleBounds::minPrefill_, IntegerRange {0, MaxEngines}),
                    required("maxPrefill", &RoleBounds::maxPrefill_, IntegerRange {0, MaxEngines}),
                    required("minDecode", &RoleBounds::minDecode_, IntegerRange {0, MaxEngines}),
                    required("maxDecode", &RoleBounds::maxDecode_, IntegerRange {0, MaxEngines}));

constexpr auto PolicyFields = std::make_tuple(
    optional("roleChangeWeight", &Policy::roleChangeWeight_, NumberRange {0.0, MaxFactor}),
    optional("minimumDwellMillis", &Policy::minimumDwellMillis_, IntegerRange {0, DayMillis}),
    optional("maxAwayPerDomain", &Policy::maxAwayPerDomain_, IntegerRange {1, MaxEngines}),
    optional("firstTokenMillis", &Policy::firstTokenMillis_, IntegerRange {1, HourMillis}),
    optional("interTokenMillis", &Policy::interTokenMillis_, IntegerRange {1, HourMillis}),
    optional("retryBudget", &Policy::retryBudget_, NumberRange {0.0, 1.0}));

constexpr auto FleetFields = std::make_tuple(
    required("name", &FleetDraft::name_, Text {NameText}),
    required("domains", &FleetDraft::domains_, listOf(Text {NameText})),
    optional("models", &FleetDraft::models_, listOf(object(ModelFields))),
    optional("services", &FleetDraft::services_, listOf(object(ServiceFields))),
    required("endpoints", &FleetDraft::endpoints_, listOf(EndpointRule {})),
    optional("accounts", &FleetDraft::accounts_, listOf(object(AccountFields))),
    optional("roleBounds", &FleetDraft::roleBounds_, listOf(object(RoleBoundsFields))),
    optional("policy", &FleetDraft::policy_, object(PolicyFields)));

template <typename Map>
auto valuesOf(const Map &map)
{
    std::vector<typename Map::mapped_type> values;
    values.reserve(map.size());
    for (const auto &[id, value] : map) {
        values.push_back(value);
    }
    return values;
}

template <typename Map, typename Value>
void fillMap(Map &map, const std::vector<Value> &values)
{
    for (const Value &value : values) {
        map.emplace(value.id_, value);
    }
}

} // namespace

FleetDraft draftOf(const Fleet &fleet)
{
    return {fleet.name_,
            fleet.domains_,
            valuesOf(fleet.models_),
            valuesOf(fleet.services_),
            valuesOf(fleet.endpoints_),
            valuesOf(fleet.accounts_),
            fleet.roleBounds_,
            fleet.policy_};
}

OrderedJson writeDraft(const FleetDraft &draft)
{
    return object(FleetFields).write(draft);
}

FleetDraft readDraft(const Json &json, std::vector<FieldError> &errors)
{
    FleetDraft draft;
    object(FleetFields).read(FieldContext(errors), json, draft);
    return draft;
}

Result<Fleet> fleetFromJson(const Json &json)
{
    std::vector<FieldError> errors;
    const FleetDraft draft = readDraft(json, errors);
    checkDraft(draft, errors);
    BOOST_LEAF_CHECK(failOnErrors(std::move(errors), "fleet file"));

    Fleet fleet;
    fleet.name_ = draft.name_;
    fleet.domains_ = draft.domains_;
    fillMap(fleet.models_, draft.models_);
    fillMap(fleet.services_, draft.services_);
    fillMap(fleet.endpoints_, draft.endpoints_);
    fillMap(fleet.accounts_, draft.accounts_);
    fleet.roleBounds_ = draft.roleBounds_;
    fleet.policy_ = draft.policy_;
    return fleet;
}

} // namespace almondridge::fleet
