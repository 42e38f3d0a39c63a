/**
 * Which parts of prompts this instance has sent to which engine lately. Pure and bounded: the
 * oldest entries go first.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/dialect.h"

#include <cstddef>
#include <list>
#include <string_view>
#include <unordered_map>

namespace almondridge::gateway {

class PromptMemory
{
public:
    explicit PromptMemory(std::size_t capacity);

    void remember(const EndpointId &engine, std::uint64_t part);
    bool holds(const EndpointId &engine, std::uint64_t part) const;
    /** Tokens of the prompt's leading parts that the engine has cached. */
    std::int64_t cachedTokens(const EndpointId &engine, const Prompt &prompt) const;

private:
    using Key = std::uint64_t;
    static Key keyOf(const EndpointId &engine, std::uint64_t part);

    std::size_t capacity_;
    std::list<Key> byUse_; ///< Latest first.
    std::unordered_map<Key, std::list<Key>::iterator> entries_;
};

/**
 * The place of a name in a key's order: the highest goes first. All instances and builds agree on
 * it, so that they choose alike without talking.
 */
std::uint64_t rendezvousWeight(std::string_view name, std::uint64_t key);

} // namespace almondridge::gateway
