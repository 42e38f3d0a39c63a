#include "almondridge/store/httpstore.h"

#include "storecall.h"

namespace almondridge::store {
namespace {

const std::string ListSource = "the instance list";
const std::string StoreSource = "the weight store";

/** Returns a string field; empty when it is missing or not a string. */
std::string textOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

Result<ListedInstance> parseInstance(const Json &entry)
{
    if (!entry.is_object()) {
        return protocolError(ListSource, "an entry that is not an object");
    }
    ListedInstance instance;
    instance.id_ = textOf(entry, "id");
    instance.kind_ = textOf(entry, "kind");
    instance.domain_ = DomainId(textOf(entry, "domain"));
    instance.address_ = textOf(entry, "address");
    const auto state = valueOf(ListedStateNames, textOf(entry, "state"));
    if (instance.id_.empty() || instance.kind_.empty() || !state) {
        return protocolError(ListSource, "an entry without id, kind or a state out of "
                                             + namesOf(ListedStateNames));
    }
    instance.state_ = *state;
    return instance;
}

class HttpInstanceList : public InstanceList
{
public:
    explicit HttpInstanceList(net::Address address)
        : address_(std::move(address))
    { }

    Result<std::vector<ListedInstance>> fetch(TimePoint deadline) override
    {
        net::Request request;
        request.path_ = "/instances";
        BOOST_LEAF_AUTO(answer, storeCall(address_, request, deadline));
        if (answer.status_ != 200) {
            return failedStatus(ListSource, answer);
        }
        const Json &body = answer.body_;
        if (!body.is_object() || !body.contains("instances") || !body["instances"].is_array()) {
            return protocolError(ListSource, "an answer without instances");
        }
        std::vector<ListedInstance> instances;
        for (const Json &entry : body["instances"]) {
            BOOST_LEAF_AUTO(instance, parseInstance(entry));
            instances.push_back(std::move(instance));
        }
        return instances;
    }

private:
    const net::Address address_;
};

class HttpWeightStore : public WeightStore
{
public:
    explicit HttpWeightStore(net::Address address)
        : address_(std::move(address))
    { }

    Result<WeightStoreStatus> status(TimePoint deadline) override
    {
        net::Request request;
        request.path_ = "/weights/status";
        BOOST_LEAF_AUTO(answer, storeCall(address_, request, deadline));
        if (answer.status_ != 200) {
            return failedStatus(StoreSource, answer);
        }
        const Json &body = answer.body_;
        if (!body.is_object() || !body.contains("bytes_per_second")
            || !body["bytes_per_second"].is_number() || !body.contains("fetches_running")
            || !body["fetches_running"].is_number_integer()) {
            return protocolError(StoreSource, "a status without its rate or its running fetches");
        }
        return WeightStoreStatus {body["bytes_per_second"].get<double>(),
                                  body["fetches_running"].get<int>()};
    }

private:
    const net::Address address_;
};

} // namespace

std::unique_ptr<InstanceList> makeHttpInstanceList(net::Address address)
{
    return std::make_unique<HttpInstanceList>(std::move(address));
}

std::unique_ptr<WeightStore> makeHttpWeightStore(net::Address address)
{
    return std::make_unique<HttpWeightStore>(std::move(address));
}

} // namespace almondridge::store
