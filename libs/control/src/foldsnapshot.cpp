/** Serialises the fold's state as JSON and restores it. */
#include "almondridge/control/fold.h"

#include "almondridge/fleet/fleetfile.h"
#include "recordfields.h"

#include <algorithm>

namespace almondridge::control {

template <>
struct JsonFields<LeaseState>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("domain", &LeaseState::domain_), jsonField("holder", &LeaseState::holder_),
        jsonField("fence", &LeaseState::fence_), jsonField("last", &LeaseState::lastRecord_),
        jsonField("term_in_ms", &LeaseState::termMillis_),
        jsonField("released", &LeaseState::released_));
};

template <>
struct JsonFields<OpenIntent>
{
    static constexpr auto Table = std::make_tuple(jsonField("offset", &OpenIntent::offset_),
                                                  jsonField("intent", &OpenIntent::intent_));
};

template <>
struct JsonFields<KeyClaim>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("request", &KeyClaim::request_), jsonField("instance", &KeyClaim::instance_),
        jsonField("wall_ms", &KeyClaim::wallMillis_), jsonField("finished", &KeyClaim::finished_),
        jsonField("status", &KeyClaim::status_), jsonField("body", &KeyClaim::body_));
};

/** The contents of a snapshot: all state that a later verdict may depend on. */
struct FoldState
{
    static FoldState of(const Fold &fold)
    {
        FoldState state {fold.fleet_.revision_,  fold.fleet_.text_, fold.fleet_.operator_,
                         fold.applies_,          fold.leases_,      fold.openIntents_,
                         fold.lastSequence_,     fold.lastDone_,    {},
                         fold.newestClaimMillis_};
        for (const auto &[key, claim] : fold.claims_) {
            if (claim.wallMillis_ >= fold.horizonStart()) {
                state.claims_.emplace(key, claim);
            }
        }
        return state;
    }

    /** Moves everything except for the parsed fleet. */
    void moveInto(Fold &fold)
    {
        fold.fleet_.revision_ = revision_;
        fold.fleet_.text_ = std::move(fleetText_);
        fold.fleet_.operator_ = std::move(operator_);
        fold.applies_ = std::move(applies_);
        fold.leases_ = std::move(leases_);
        fold.openIntents_ = std::move(openIntents_);
        fold.lastSequence_ = std::move(lastSequence_);
        fold.lastDone_ = std::move(lastDone_);
        fold.claims_ = std::move(claims_);
        fold.newestClaimMillis_ = newestClaimMillis_;
        for (const auto &[key, claim] : fold.claims_) {
            fold.claimAges_.push_back({claim.wallMillis_, key});
        }
        std::sort(fold.claimAges_.begin(), fold.claimAges_.end(),
                  [](const ClaimAge &left, const ClaimAge &right) {
                      return left.wallMillis_ < right.wallMillis_;
                  });
    }

    Revision revision_ = 0;
    std::string fleetText_;
    std::string operator_;
    std::map<std::string, Revision> applies_;
    std::map<DomainId, LeaseState> leases_;
    std::map<EndpointId, OpenIntent> openIntents_;
    std::map<EndpointId, std::uint64_t> lastSequence_;
    std::map<EndpointId, EngineTarget> lastDone_;
    std::map<std::string, KeyClaim> claims_;
    std::int64_t newestClaimMillis_ = 0;
};

template <>
struct JsonFields<FoldState>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("revision", &FoldState::revision_), jsonField("fleet", &FoldState::fleetText_),
        jsonField("operator", &FoldState::operator_), jsonField("applies", &FoldState::applies_),
        jsonField("leases", &FoldState::leases_), jsonField("intents", &FoldState::openIntents_),
        jsonField("sequences", &FoldState::lastSequence_), jsonField("done", &FoldState::lastDone_),
        jsonField("claims", &FoldState::claims_),
        jsonField("newest_claim_ms", &FoldState::newestClaimMillis_));
};

namespace {

boost::leaf::error_id invalidSnapshot(const std::string &what)
{
    return fail(
        ErrorKind::Protocol, "invalid snapshot of the control log: " + what,
        "run the same version on all instances; an older snapshot or a peer may still work");
}

Result<std::shared_ptr<const fleet::Fleet>> parseFleetText(const std::string &text)
{
    BOOST_LEAF_AUTO(fleet, fleet::parseFleet(text));
    return std::make_shared<const fleet::Fleet>(std::move(fleet));
}

} // namespace

std::string Fold::snapshot() const
{
    return JsonValue<FoldState>::write(FoldState::of(*this)).dump();
}

Result<bool> Fold::restore(LogOffset through, const std::string &state)
{
    if (through < next_) {
        return false;
    }
    const Json json = parseBounded(state);
    if (!json.is_object()) {
        return invalidSnapshot("not a JSON object");
    }
    FoldState parsed;
    if (const char *wrong = readFields(json, parsed)) {
        return invalidSnapshot(std::string("missing or invalid field '") + wrong + "'");
    }
    // A longer prefix cannot have a lower revision, so this snapshot is from another log.
    // Restoring it would bring back a configuration that was replaced.
    if (parsed.revision_ < fleet_.revision_) {
        return invalidSnapshot("its revision " + std::to_string(parsed.revision_)
                               + " is lower than the one in force");
    }
    Fold restored(keyHorizonMillis_);
    parsed.moveInto(restored);
    if (restored.fleet_.revision_ != 0) {
        BOOST_LEAF_ASSIGN(restored.fleet_.fleet_, parseFleetText(restored.fleet_.text_));
    }
    restored.next_ = through + 1;
    *this = std::move(restored);
    return true;
}

} // namespace almondridge::control
