/**
 * The bytes that a process holds on behalf of clients, whatever holds them: one sum, one limit, and
 * one decision who gives bytes back. Capacities are counted, not sizes.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace almondridge::async {

/** Requests and unread answers up to this size have room that larger ones can't take. */
inline constexpr std::size_t SmallMessageBytes = 65'536;

/** Why bytes may be given back; each has its own part of the limit. */
enum class YieldKind {
    Large,  ///< A request that is being received, or an answer that isn't read.
    Small,  ///< The same, up to SmallMessageBytes.
    Stream, ///< A stream in progress that its client doesn't read.
};

inline constexpr std::array<EnumName<YieldKind>, 3> YieldKindNames {{
    {YieldKind::Large, "large"},
    {YieldKind::Small, "small"},
    {YieldKind::Stream, "stream"},
}};

/** A client that can be made to give its bytes back. */
struct YieldCandidate
{
    std::uint64_t number_ = 0; ///< Known to the source.
    std::size_t bytes_ = 0;
    YieldKind kind_ = YieldKind::Large;
    /** When it had last sent or read a good part of what it holds. */
    TimePoint progressAt_ {};
    /** How much of its message has passed, 0 to 1. */
    double done_ = 0;
};

/** Whatever has clients that can give bytes back. */
class YieldSource
{
public:
    virtual ~YieldSource() = default;
    virtual void addCandidates(std::vector<YieldCandidate> &candidates) const = 0;
    /** Makes the client give back its bytes; it is refused or its connection is closed. */
    virtual void yield(std::uint64_t number) = 0;
};

/**
 * In which order candidates give bytes back: those without progress for a while first, by bytes and
 * time; then those with the least done. So that a crowd can't end each other's requests in turn,
 * whatever makes progress and is nearly done stays.
 */
bool yieldsBefore(const YieldCandidate &a, const YieldCandidate &b, TimePoint now);

class MemoryAccount
{
public:
    MemoryAccount() = default;
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /** 0: without a limit. */
    void setLimit(std::size_t bytes) { limit_ = bytes; }
    std::size_t limit() const noexcept { return limit_; }
    std::size_t held() const noexcept { return held_; }
    std::size_t peak() const noexcept { return peak_; }
    /** The most that may be held before clients of that kind give bytes back. */
    std::size_t limitOf(YieldKind kind) const noexcept;
    /** Whether clients of some kind have to give bytes back. */
    bool isShort() const noexcept { return limit_ > 0 && held_ > limitOf(YieldKind::Large); }

    void addSource(YieldSource &source) { sources_.push_back(&source); }
    void removeSource(YieldSource &source) { std::erase(sources_, &source); }
    /** Makes clients yield until each kind is within its part of the limit. */
    void relieve(TimePoint now);
    /**
     * Makes clients yield until as many bytes fit into the part of that kind. False, and nobody
     * yields, if all of them together hold too little.
     */
    bool makeRoom(std::size_t bytes, YieldKind kind, TimePoint now);
    /** Until so many bytes will fit, by what was given back lately. */
    std::int64_t millisUntilRoom(std::size_t bytes, TimePoint now);

private:
    friend class HeldBytes;

    /** After a search in which nobody could yield, another one would find the same for a while. */
    struct VainSearch
    {
        std::size_t bytes_ = 0; ///< Fewer may be found.
        TimePoint until_ {};

        bool isRecent(std::size_t bytes, TimePoint now) const
        {
            return now < until_ && bytes >= bytes_;
        }
    };

    void change(std::size_t before, std::size_t after);
    std::vector<std::pair<YieldCandidate, YieldSource *>> candidates(TimePoint now) const;

    std::size_t limit_ = 0;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::vector<YieldSource *> sources_;
    std::size_t searchAgainAt_ = 0; ///< Held bytes at which relieve() searches before its time.
    TimePoint searchAgainAfter_ {};
    std::array<VainSearch, YieldKindNames.size()> vainSearches_ {};
    std::uint64_t givenBack_ = 0; ///< In all.
    /** Of the window that has ended last, and of the one before the current. */
    std::uint64_t givenBackBefore_ = 0;
    double givenBackPerSecond_ = 0;
    TimePoint windowStart_ {};
};

/** A holder's part of an account, which gets it back when the holder ends. */
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(MemoryAccount &account)
        : account_(&account)
    { }
    HeldBytes(HeldBytes &&other) noexcept;
    HeldBytes &operator=(HeldBytes &&other) noexcept;
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;
    ~HeldBytes() { set(0); }

    void set(std::size_t bytes);
    std::size_t bytes() const noexcept { return bytes_; }

private:
    MemoryAccount *account_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace almondridge::async
