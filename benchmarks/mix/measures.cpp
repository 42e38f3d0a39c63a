#include "measures.h"

namespace almondridge::mix {
namespace {

constexpr double LeastSeconds = 0.001;
constexpr double MostSeconds = 100;
constexpr unsigned Buckets = 236; ///< Five per cent each from least to most.

} // namespace

Latencies::Latencies()
    : histogram_(std::make_tuple(Axis(Buckets, LeastSeconds, MostSeconds)))
{ }

void Latencies::add(double seconds, double count)
{
    histogram_(seconds, boost::histogram::weight(count));
}

void Latencies::add(const Latencies &other)
{
    histogram_ += other.histogram_;
}

double Latencies::quantile(double share) const
{
    const double total = boost::histogram::algorithm::sum(histogram_);
    double sum = histogram_.at(-1);
    if (total <= 0) {
        return 0;
    }
    for (int index = 0; index < histogram_.axis().size(); ++index) {
        sum += histogram_.at(index);
        if (sum >= share * total) {
            return histogram_.axis().bin(index).upper();
        }
    }
    return MostSeconds;
}

TimeSlot &Measures::slotAt(double seconds)
{
    const auto index = static_cast<std::size_t>(seconds / SlotSeconds);
    if (slots_.size() <= index) {
        slots_.resize(index + 1);
    }
    return slots_[index];
}

} // namespace almondridge::mix
