/**
 * Which parts of prompts were sent to which engine lately, by this instance or, as they told, by
 * the others. Pure and bounded: the oldest entries go first.
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

class PromptCacheIndex
{
public:
    explicit PromptCacheIndex(std::size_t capacity);

    /**
     * Names a part at an engine; all instances and builds agree on it. Another lifetime of the
     * engine has other keys: a restart empties its cache, and notes of before must not fill it.
     */
    using Key = std::uint64_t;
    static Key keyOf(const ListedEndpoint &engine, std::uint64_t part);

    /** True when it was not known. */
    bool insert(Key key, TimePoint now);
    bool holds(const ListedEndpoint &engine, std::uint64_t part) const;
    /** Tokens of the prompt's leading parts that the engine has cached. */
    std::int64_t cachedTokens(const ListedEndpoint &engine, const Prompt &prompt) const;
    /** The same of parts that came there before a point in time. */
    std::int64_t cachedTokens(const ListedEndpoint &engine, const Prompt &prompt,
                              TimePoint before) const;

private:
    std::size_t capacity_;
    struct Entry
    {
        std::list<Key>::iterator lruPosition_;
        TimePoint insertedAt_ {};
    };

    std::list<Key> lruOrder_; ///< Latest first.
    std::unordered_map<Key, Entry> entries_;
};

/**
 * The place of a name in a key's order: the highest goes first. All instances and builds agree on
 * it, so that they choose alike without talking.
 */
std::uint64_t rendezvousWeight(std::string_view name, std::uint64_t key);
/** The same in two steps, for a name that is weighed again and again. */
std::uint64_t nameHash(std::string_view name);
std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key);

} // namespace almondridge::gateway
