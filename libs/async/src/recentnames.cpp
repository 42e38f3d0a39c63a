#include "almondridge/async/recentnames.h"

namespace almondridge::async {

void RecentNames::add(const std::string &name)
{
    if (const auto found = places_.find(name); found != places_.end()) {
        names_.splice(names_.end(), names_, found->second);
        return;
    }
    places_.emplace(name, names_.insert(names_.end(), name));
    if (places_.size() > capacity_) {
        places_.erase(names_.front());
        names_.pop_front();
    }
}

void RecentNames::remove(const std::string &name)
{
    if (const auto found = places_.find(name); found != places_.end()) {
        names_.erase(found->second);
        places_.erase(found);
    }
}

void RecentNames::clear()
{
    names_.clear();
    places_.clear();
}

} // namespace almondridge::async
