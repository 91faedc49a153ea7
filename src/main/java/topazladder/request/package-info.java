/**
 * Request types shared by all packages: a request and its class and tenant, the outcome of its run or dependency call,
 * and the decisions of the admission controller. All are immutable values without logic.
 */
package topazladder.request;
