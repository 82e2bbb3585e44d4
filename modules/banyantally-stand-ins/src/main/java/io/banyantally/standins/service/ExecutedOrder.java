package io.banyantally.standins.service;

/** How often an order was executed. */
public record ExecutedOrder(String orderId, long executions) {}
