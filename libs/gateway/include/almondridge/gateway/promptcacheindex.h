/**
 * Index of the prompt parts that engines have in their caches: those that this instance or, by
 * their reports, its peers sent there recently. Bounded; the least recently used entries are
 * evicted first. No I/O and no clock.
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
     * Identifies a part in the cache of an engine; the same in all instances and builds. The key
     * covers the engine's start time: a restart empties its cache, and late reports about the
     * process before it must not be taken for the new one.
     */
    using Key = std::uint64_t;
    static Key keyOf(const ListedEndpoint &engine, std::uint64_t part);

    /** Adds or refreshes an entry; true if it was not in the index. */
    bool insert(Key key, TimePoint now);
    bool holds(const ListedEndpoint &engine, std::uint64_t part) const;
    /** Tokens of the longest prefix of the prompt's parts that the engine has cached. */
    std::int64_t cachedTokens(const ListedEndpoint &engine, const Prompt &prompt) const;
    /** As above, counting only parts that were added before a point in time. */
    std::int64_t cachedTokens(const ListedEndpoint &engine, const Prompt &prompt,
                              TimePoint before) const;

private:
    std::size_t capacity_;
    struct Entry
    {
        std::list<Key>::iterator lruPosition_;
        TimePoint insertedAt_ {};
    };

    std::list<Key> lruOrder_; ///< Most recently used first.
    std::unordered_map<Key, Entry> entries_;
};

/**
 * Weight of a name in the rendezvous hash of a key; the name with the highest weight ranks first.
 * The same in all instances and builds, so that they make the same choice without coordination.
 */
std::uint64_t rendezvousWeight(std::string_view name, std::uint64_t key);
/** The two steps of rendezvousWeight(), for callers that weigh the same name often. */
std::uint64_t nameHash(std::string_view name);
std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key);

} // namespace almondridge::gateway
