/**
 * A set of names with a fixed capacity: adding one more removes the one that was added longest ago.
 */
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace almondridge::async {

class RecentNames
{
public:
    explicit RecentNames(std::size_t capacity)
        : capacity_(capacity)
    { }

    /** Adding a name that is in the set makes it the most recent one. */
    void add(const std::string &name);
    void remove(const std::string &name);
    void clear();
    bool contains(const std::string &name) const { return places_.contains(name); }
    std::size_t size() const noexcept { return places_.size(); }

private:
    std::size_t capacity_;
    std::list<std::string> names_; ///< Oldest first.
    std::unordered_map<std::string, std::list<std::string>::iterator> places_;
};

} // namespace almondridge::async
