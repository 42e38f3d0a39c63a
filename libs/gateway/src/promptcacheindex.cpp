#include "almondridge/gateway/promptcacheindex.h"

namespace almondridge::gateway {
namespace {

/** Unlike std::hash, the same in all instances and builds. */
std::uint64_t fnv1aHash(std::string_view text)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (const char letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= 1'099'511'628'211ULL;
    }
    return hash;
}

/** The finalizer of MurmurHash3: spreads nearby values over the whole range. */
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view name, std::uint64_t key)
{
    return rendezvousWeight(nameHash(name), key);
}

std::uint64_t nameHash(std::string_view name)
{
    return fnv1aHash(name);
}

std::uint64_t rendezvousWeight(std::uint64_t nameHash, std::uint64_t key)
{
    return mix(nameHash ^ mix(key));
}

PromptCacheIndex::PromptCacheIndex(std::size_t capacity)
    : capacity_(capacity)
{ }

PromptCacheIndex::Key PromptCacheIndex::keyOf(const ListedEndpoint &engine, std::uint64_t part)
{
    const auto start = static_cast<std::uint64_t>(engine.startedAtMillis_);
    return rendezvousWeight(engine.id_.value(), part ^ mix(start));
}

bool PromptCacheIndex::insert(Key key, TimePoint now)
{
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        lruOrder_.splice(lruOrder_.begin(), lruOrder_, found->second.lruPosition_);
        return false;
    }
    lruOrder_.push_front(key);
    entries_.emplace(key, Entry {lruOrder_.begin(), now});
    if (entries_.size() > capacity_) {
        entries_.erase(lruOrder_.back());
        lruOrder_.pop_back();
    }
    return true;
}

bool PromptCacheIndex::holds(const ListedEndpoint &engine, std::uint64_t part) const
{
    return entries_.contains(keyOf(engine, part));
}

std::int64_t PromptCacheIndex::cachedTokens(const ListedEndpoint &engine,
                                            const Prompt &prompt) const
{
    return cachedTokens(engine, prompt, TimePoint::max());
}

std::int64_t PromptCacheIndex::cachedTokens(const ListedEndpoint &engine, const Prompt &prompt,
                                            TimePoint before) const
{
    std::int64_t tokens = 0;
    for (const PromptPart &part : prompt.parts_) {
        const auto found = entries_.find(keyOf(engine, part.id_));
        if (found == entries_.end() || found->second.insertedAt_ >= before) {
            break;
        }
        tokens += part.tokens_;
    }
    return tokens;
}

} // namespace almondridge::gateway
