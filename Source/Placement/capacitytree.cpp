#include "Placement/capacitytree.h"

#include "Placement/workerledger.h"

#include <algorithm>

namespace Oleander::Placement {

void CapacityTree::set(std::size_t worker, const Resources &available)
{
    update(worker, {available, true});
}

void CapacityTree::close(std::size_t worker)
{
    update(worker, {});
}

bool CapacityTree::holds(std::size_t node, const Resources &size) const
{
    return nodes_[node].isOpen && fitsInto(size, nodes_[node].most);
}

void CapacityTree::grow(std::size_t workers)
{
    const std::vector<Node> old = std::move(nodes_);
    const std::size_t oldLeaves = leaves_;
    leaves_ = std::max<std::size_t>(1, leaves_);
    while (leaves_ < workers)
        leaves_ *= 2;
    nodes_.assign(2 * leaves_, {});
    for (std::size_t worker = 0; worker < count_; ++worker)
        update(worker, old[oldLeaves + worker]);
}

void CapacityTree::update(std::size_t worker, const Node &leaf)
{
    if (worker >= leaves_)
        grow(worker + 1);
    count_ = std::max(count_, worker + 1);
    std::size_t node = leaves_ + worker;
    nodes_[node] = leaf;
    for (node /= 2; node > 0; node /= 2) {
        const Node &left = nodes_[2 * node];
        const Node &right = nodes_[2 * node + 1];
        nodes_[node].isOpen = left.isOpen || right.isOpen;
        nodes_[node].most = {std::max(left.most.milliCores, right.most.milliCores),
                             std::max(left.most.memoryMiB, right.most.memoryMiB),
                             std::max(left.most.accelerators, right.most.accelerators)};
    }
}

std::optional<std::size_t> CapacityTree::first(const Resources &size, std::size_t from) const
{
    if (leaves_ == 0)
        return std::nullopt;
    return firstBelow(1, 0, leaves_, size, from);
}

std::optional<std::size_t> CapacityTree::firstBelow(std::size_t node, std::size_t begin,
                                                    std::size_t width, const Resources &size,
                                                    std::size_t from) const
{
    if (begin + width <= from || !holds(node, size))
        return std::nullopt;
    if (node >= leaves_)
        return node - leaves_;
    const std::size_t half = width / 2;
    if (const auto left = firstBelow(2 * node, begin, half, size, from))
        return left;
    return firstBelow(2 * node + 1, begin + half, half, size, from);
}

std::optional<std::size_t> CapacityTree::any(const Resources &size, std::minstd_rand &random) const
{
    if (leaves_ == 0)
        return std::nullopt;
    return anyBelow(1, size, random);
}

std::optional<std::size_t> CapacityTree::anyBelow(std::size_t node, const Resources &size,
                                                  std::minstd_rand &random) const
{
    if (!holds(node, size))
        return std::nullopt;
    if (node >= leaves_)
        return node - leaves_;
    const std::size_t turn = (random() >> 8) & 1;
    if (const auto found = anyBelow(2 * node + turn, size, random))
        return found;
    return anyBelow(2 * node + 1 - turn, size, random);
}

} // namespace Oleander::Placement
