/**
 * Which endpoint gets a request. Pure: the endpoints, what is known of cached prompts and the
 * time go in.
 *
 * Prompts go where their shared parts were read before: each part has an order of engines by
 * rendezvous hash that all instances work out alike without talking, and the first trusted engine
 * of that order reads it, unless its queue makes reading the part again elsewhere quicker.
 */
#pragma once

#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/promptmemory.h"

#include <optional>
#include <string>
#include <vector>

namespace almondridge::gateway {

struct PlacementSettings
{
    DomainId domain_; ///< This instance's own.
    /**
     * Prompt tokens that an engine reads in a millisecond until that was measured: what one
     * accelerator node reads of a large model.
     */
    double firstTokensPerMilli_ = 50;
    /** What generating engines read, against engines that only read. */
    double decodeReadShare_ = 0.5;
    /** Fixed time of handing a prompt over, beside its reading. */
    double handoverMillis_ = 12;
};

/** How a prompt is to be served. */
struct PromptPlan
{
    std::optional<EndpointId> prefill_; ///< Empty: read where it is generated.
    EndpointId decode_;
    std::int64_t newTokens_ = 0; ///< To be read where it is read first.
    double readMillis_ = 0;      ///< Estimate until it is read, queue included.
};

class Placement
{
public:
    explicit Placement(PlacementSettings settings);

    /** nullopt: no endpoint may get the request. */
    std::optional<PromptPlan> planPrompt(const EndpointTable &table, const ServiceId &service,
                                         const Prompt &prompt,
                                         const std::vector<EndpointId> &excluded,
                                         TimePoint now) const;
    /** An engine to generate for a prompt that was read at source. */
    std::optional<EndpointId> chooseDecode(const EndpointTable &table, const ServiceId &service,
                                           const DomainId &source,
                                           const std::vector<EndpointId> &excluded,
                                           TimePoint now) const;
    /** A plain service's endpoint. */
    std::optional<EndpointId> chooseService(const EndpointTable &table, const ServiceId &service,
                                            const std::vector<EndpointId> &excluded,
                                            TimePoint now) const;

    /** A prompt was read: its parts are in the engine's cache, and its time tells the rate. */
    void onPromptRead(const EndpointId &engine, const Prompt &prompt, TimePoint now);
    void onReadTime(std::int64_t tokensAhead, double milliseconds);
    double tokensPerMilli() const noexcept { return tokensPerMilli_; }

private:
    struct Offer;

    Offer offerOf(const Endpoint &engine, const Prompt &prompt, double tokensPerMilli, bool isHome,
                  TimePoint now) const;

    PlacementSettings settings_;
    double tokensPerMilli_;
    PromptMemory memory_;
};

} // namespace almondridge::gateway
