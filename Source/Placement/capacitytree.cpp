#include "Placement/capacitytree.h"

#include "Placement/workerledger.h"

#include <algorithm>

namespace Oleander::Placement {

void CapacityTree::set(std::size_t worker, const Resources &available)
{
    update(worker, {available, true});
}

void CapacityTree::exclude(std::size_t worker)
{
    update(worker, {});
}

bool CapacityTree::mayFit(std::size_t node, const Resources &size) const
{
    return nodes_[node].isSearchable && fitsInto(size, nodes_[node].maxAvailable);
}

void CapacityTree::resize(std::size_t workers)
{
    const std::vector<Node> old = std::move(nodes_);
    const std::size_t oldLeaves = leafCount_;
    leafCount_ = std::max<std::size_t>(1, leafCount_);
    while (leafCount_ < workers)
        leafCount_ *= 2;
    nodes_.assign(2 * leafCount_, {});
    for (std::size_t worker = 0; worker < workerCount_; ++worker)
        update(worker, old[oldLeaves + worker]);
}

void CapacityTree::update(std::size_t worker, const Node &leaf)
{
    if (worker >= leafCount_)
        resize(worker + 1);
    workerCount_ = std::max(workerCount_, worker + 1);
    std::size_t node = leafCount_ + worker;
    nodes_[node] = leaf;
    for (node /= 2; node > 0; node /= 2) {
        const Node &left = nodes_[2 * node];
        const Node &right = nodes_[2 * node + 1];
        nodes_[node].isSearchable = left.isSearchable || right.isSearchable;
        nodes_[node].maxAvailable = {
            std::max(left.maxAvailable.milliCores, right.maxAvailable.milliCores),
            std::max(left.maxAvailable.memoryMiB, right.maxAvailable.memoryMiB),
            std::max(left.maxAvailable.accelerators, right.maxAvailable.accelerators)};
    }
}

std::optional<std::size_t> CapacityTree::findFirst(const Resources &size, std::size_t from) const
{
    if (leafCount_ == 0)
        return std::nullopt;
    return findFirstBelow(1, 0, leafCount_, size, from);
}

std::optional<std::size_t> CapacityTree::findFirstBelow(std::size_t node, std::size_t begin,
                                                        std::size_t width, const Resources &size,
                                                        std::size_t from) const
{
    if (begin + width <= from || !mayFit(node, size))
        return std::nullopt;
    if (node >= leafCount_)
        return node - leafCount_;
    const std::size_t half = width / 2;
    if (const auto left = findFirstBelow(2 * node, begin, half, size, from))
        return left;
    return findFirstBelow(2 * node + 1, begin + half, half, size, from);
}

std::optional<std::size_t> CapacityTree::findAny(const Resources &size,
                                                 std::minstd_rand &random) const
{
    if (leafCount_ == 0)
        return std::nullopt;
    return findAnyBelow(1, size, random);
}

std::optional<std::size_t> CapacityTree::findAnyBelow(std::size_t node, const Resources &size,
                                                      std::minstd_rand &random) const
{
    if (!mayFit(node, size))
        return std::nullopt;
    if (node >= leafCount_)
        return node - leafCount_;
    const std::size_t firstChild = (random() >> 8) & 1;
    if (const auto found = findAnyBelow(2 * node + firstChild, size, random))
        return found;
    return findAnyBelow(2 * node + 1 - firstChild, size, random);
}

} // namespace Oleander::Placement
