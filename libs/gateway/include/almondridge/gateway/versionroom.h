/**
 * Decides at which software versions of a service new streams may begin. No I/O and no clock.
 *
 * A stream can go on only at the version that began it. When an engine fails, or a release has
 * replaced most engines of a version, the few that are left must take its streams up, so new
 * streams leave them as much room as one engine of the version uses.
 */
#pragma once

#include "almondridge/base/ids.h"

#include <vector>

namespace almondridge::gateway {

class VersionRoom
{
public:
    /** Adds an engine that decodes. utilization: its requests per slot. */
    void add(const SoftwareVersion &version, double utilization);

    /** Whether an engine of this version decodes. */
    bool decodes(const SoftwareVersion &version) const;
    /**
     * Whether new streams may begin at the version: its other engines could take up the streams of
     * one of them, or no version has that much room.
     */
    bool isOpen(const SoftwareVersion &version) const;

private:
    struct Use
    {
        SoftwareVersion version_;
        int engines_ = 0;
        double utilization_ = 0; ///< Sum over the engines.

        bool hasRoom() const { return utilization_ < engines_ - 1; }
    };

    const Use *find(const SoftwareVersion &version) const;

    std::vector<Use> versions_; ///< A few at most.
};

} // namespace almondridge::gateway
