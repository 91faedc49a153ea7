/**
 * What the parts of the program say to each other about requests: a request as it was read, its class and tenant, how
 * its run or its dependency call ended, and what the admission controller decides on it. Immutable values without any
 * logic of their own.
 */
package topazladder.request;
