/**
 * Straight lines through measured points, for the slopes of docs/CAPACITY.md.
 */
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <vector>

namespace almondridge::bench {

struct Sample
{
    double x_ = 0;
    double y_ = 0;
};

struct Line
{
    double base_ = 0;
    double slope_ = 0;
    double slopeError_ = 0; ///< Standard error of the slope; 0 with two samples.
    double worstMiss_ = 0;  ///< Largest distance of a sample from the line, as a share of it.
};

/** The line with the least squares of distances. */
inline Line fit(const std::vector<Sample> &samples)
{
    const auto count = static_cast<double>(samples.size());
    double x = 0;
    double y = 0;
    for (const Sample &sample : samples) {
        x += sample.x_ / count;
        y += sample.y_ / count;
    }
    double xx = 0;
    double xy = 0;
    for (const Sample &sample : samples) {
        xx += (sample.x_ - x) * (sample.x_ - x);
        xy += (sample.x_ - x) * (sample.y_ - y);
    }
    Line line {y - x * xy / xx, xy / xx};
    double squares = 0;
    for (const Sample &sample : samples) {
        const double miss = std::abs(line.base_ + line.slope_ * sample.x_ - sample.y_);
        squares += miss * miss;
        line.worstMiss_ = std::max(line.worstMiss_, miss / std::abs(sample.y_));
    }
    if (samples.size() > 2) {
        line.slopeError_ = std::sqrt(squares / (count - 2) / xx);
    }
    return line;
}

/** Processor time of this process so far. */
inline double processSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/** Heap in use by this process. */
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace almondridge::bench
