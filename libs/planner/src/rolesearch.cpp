#include "rolesearch.h"

#include <tuple>

namespace almondridge::planner {
namespace {

using fleet::EngineRole;

constexpr std::array<EngineRole, NumRoles> Roles {EngineRole::Prefill, EngineRole::Decode,
                                                  EngineRole::Mixed};

bool reachable(const RoleCounts &to, const SearchProblem &problem)
{
    for (std::size_t index = 0; index < NumRoles; ++index) {
        if (problem.counts_[index] - to[index] > problem.movable_[index]) {
            return false;
        }
    }
    return true;
}

int boundViolations(const RoleCounts &counts, const fleet::RoleBounds &bounds)
{
    const int prefill = counts[indexOf(EngineRole::Prefill)];
    const int decode = counts[indexOf(EngineRole::Decode)];
    return std::max({0, bounds.minPrefill_ - prefill, prefill - bounds.maxPrefill_})
           + std::max({0, bounds.minDecode_ - decode, decode - bounds.maxDecode_});
}

int totalEngines(const RoleCounts &counts)
{
    return counts[0] + counts[1] + counts[2];
}

int countMoved(const RoleCounts &from, const RoleCounts &to)
{
    int moved = 0;
    for (std::size_t index = 0; index < NumRoles; ++index) {
        moved += std::max(0, from[index] - to[index]);
    }
    return moved;
}

bool isBetter(const Assignment &left, const Assignment &right)
{
    // If several assignments cover the demand, the one with the most spare capacity is least likely
    // to need another change when demand grows. The current assignment wins ties, as it needs none.
    const auto tieBreaker = [](const Assignment &assignment) {
        return assignment.movedEngines_ == 0 ? std::numeric_limits<double>::infinity()
                                             : assignment.capacityRatio_;
    };
    return std::tuple(-left.boundViolations_, left.net(), tieBreaker(left))
           > std::tuple(-right.boundViolations_, right.net(), tieBreaker(right));
}

} // namespace

std::vector<RoleMove> movesBetween(const RoleCounts &from, const RoleCounts &to)
{
    std::vector<RoleMove> moves;
    RoleCounts surplus {};
    for (std::size_t index = 0; index < NumRoles; ++index) {
        surplus[index] = from[index] - to[index];
    }
    for (const EngineRole source : Roles) {
        for (const EngineRole target : Roles) {
            int &sourceSurplus = surplus[indexOf(source)];
            int &targetSurplus = surplus[indexOf(target)];
            const int engines = std::min(std::max(sourceSurplus, 0), std::max(-targetSurplus, 0));
            if (engines > 0) {
                moves.push_back({source, target, engines});
                sourceSurplus -= engines;
                targetSurplus += engines;
            }
        }
    }
    return moves;
}

Assignment currentAssignment(const RoleRateTable &rates, const SearchProblem &problem)
{
    return {problem.counts_,
            boundViolations(problem.counts_, problem.bounds_),
            0,
            rates.capacityRatio(problem.counts_, problem.demand_),
            0,
            0};
}

Assignment bestAssignment(const RoleRateTable &rates, const SearchProblem &problem)
{
    const int total = totalEngines(problem.counts_);
    const Assignment current = currentAssignment(rates, problem);
    Assignment best = current;
    for (int prefill = 0; prefill <= total; ++prefill) {
        for (int decode = 0; prefill + decode <= total; ++decode) {
            const RoleCounts counts {prefill, decode, total - prefill - decode};
            if (!reachable(counts, problem)) {
                continue;
            }
            Assignment assignment {counts, boundViolations(counts, problem.bounds_),
                                   countMoved(problem.counts_, counts),
                                   rates.capacityRatio(counts, problem.demand_)};
            assignment.gain_ =
                (assignment.servedShare() - current.servedShare()) * problem.horizonSeconds_;
            assignment.cost_ = assignment.movedEngines_ * problem.changeCost_;
            if (isBetter(assignment, best)) {
                best = assignment;
            }
        }
    }
    return best;
}

} // namespace almondridge::planner
