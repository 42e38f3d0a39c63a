#include "almondridge/control/records.h"

#include "recordfields.h"

#include <algorithm>

namespace almondridge::control {
namespace {

constexpr const char *KindField = "kind";
constexpr const char *IdField = "id";
constexpr const char *ThroughField = "through";
constexpr const char *StateField = "state";

boost::leaf::error_id invalidRecord(const std::string &what)
{
    return fail(
        ErrorKind::Protocol, "not a record of the control log: " + what,
        "let no other program write to this log, and run the same version on all instances");
}

template <typename T>
void encodeAs(const Record &record, Json &object)
{
    writeFields(std::get<T>(record), object);
}

/** Returns the name of the first invalid field, or null. */
template <typename T>
const char *decodeAs(const Json &object, Record &record)
{
    return readFields(object, record.emplace<T>());
}

/** Embeds the state as JSON, not as a string, which would escape the fleet file twice. */
void encodeSnapshot(const Record &record, Json &object)
{
    const auto &snapshot = std::get<SnapshotRecord>(record);
    object[ThroughField] = snapshot.through_;
    Json state = parseBounded(snapshot.state_);
    object[StateField] = state.is_object() ? std::move(state) : Json(nullptr);
}

const char *decodeSnapshot(const Json &object, Record &record)
{
    auto &snapshot = record.emplace<SnapshotRecord>();
    const auto through = object.find(ThroughField);
    if (through == object.end() || !JsonValue<LogOffset>::read(*through, snapshot.through_)) {
        return ThroughField;
    }
    const auto state = object.find(StateField);
    if (state == object.end() || !state->is_object()) {
        return StateField;
    }
    snapshot.state_ = state->dump();
    return nullptr;
}

struct RecordCodec
{
    std::string_view kind_;
    void (*encode_)(const Record &, Json &);
    const char *(*decode_)(const Json &, Record &);
};

template <typename T>
constexpr RecordCodec codec(std::string_view kind)
{
    return {kind, &encodeAs<T>, &decodeAs<T>};
}

/** In the order of the alternatives of Record. */
constexpr std::array<RecordCodec, std::variant_size_v<Record>> Codecs {{
    codec<ApplyRecord>("apply"),
    codec<LeaseClaimRecord>("lease-claim"),
    codec<LeaseRenewRecord>("lease-renew"),
    codec<IntentRecord>("intent"),
    codec<OutcomeRecord>("outcome"),
    codec<KeyClaimRecord>("key-claim"),
    codec<KeyOutcomeRecord>("key-outcome"),
    {"snapshot", &encodeSnapshot, &decodeSnapshot},
}};

const RecordCodec *findCodec(const Json &kind)
{
    if (!kind.is_string()) {
        return nullptr;
    }
    const auto &name = kind.get_ref<const std::string &>();
    const auto *found = std::find_if(Codecs.begin(), Codecs.end(),
                                     [&](const RecordCodec &row) { return row.kind_ == name; });
    return found == Codecs.end() ? nullptr : found;
}

} // namespace

std::string_view kindOf(const Record &record) noexcept
{
    return Codecs[record.index()].kind_;
}

std::string encodeRecord(const Record &record, const std::string &recordId)
{
    Json object = Json::object();
    const RecordCodec &codec = Codecs[record.index()];
    object[KindField] = codec.kind_;
    if (!recordId.empty()) {
        object[IdField] = recordId;
    }
    codec.encode_(record, object);
    return object.dump();
}

Result<IdentifiedRecord> decodeIdentified(std::string_view body)
{
    const Json object = parseBounded(body);
    if (!object.is_object()) {
        return invalidRecord("not a JSON object");
    }
    const RecordCodec *codec = findCodec(object.value(KindField, Json()));
    if (codec == nullptr) {
        return invalidRecord("unknown kind");
    }
    IdentifiedRecord decoded;
    if (const char *wrong = codec->decode_(object, decoded.record_)) {
        return invalidRecord(std::string(codec->kind_) + ": missing or invalid field '" + wrong
                             + "'");
    }
    const auto id = object.find(IdField);
    if (id != object.end() && !JsonValue<std::string>::read(*id, decoded.id_)) {
        return invalidRecord("the id is not a string");
    }
    return decoded;
}

Result<Record> decodeRecord(std::string_view body)
{
    BOOST_LEAF_AUTO(decoded, decodeIdentified(body));
    return std::move(decoded.record_);
}

} // namespace almondridge::control
